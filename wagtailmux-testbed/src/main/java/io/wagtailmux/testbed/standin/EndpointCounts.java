package io.wagtailmux.testbed.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a stand-in of an endpoint counted. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class EndpointCounts {

	private final Map<String, List<String>> executions = new HashMap<>();

	private final List<String> runCalls = new ArrayList<>();

	private int boot;

	private int started;

	private int inFlight;

	private int largestExcess;

	private int answersSinceBoot;

	private int coldOverloads;

	private int warmOverloads;

	private int cancelled;

	private final List<Duration> durations = new ArrayList<>();

	private Duration busy = Duration.ZERO;

	/**
	 * Counts the start of a call.
	 * @param model how the endpoint behaves
	 * @return the call
	 */
	synchronized CallSpan start(EndpointModel model) {
		this.started++;
		this.inFlight++;
		int bears = model.concurrencyLimit(this.answersSinceBoot);
		if (this.inFlight > bears) {
			this.largestExcess = Math.max(this.largestExcess, this.inFlight - bears);
			if (bears < model.warmLimit()) {
				this.coldOverloads++;
			}
			else {
				this.warmOverloads++;
			}
		}
		return new CallSpan(this, this.boot, this.inFlight);
	}

	// A restart ends the calls of the process before.
	synchronized void end(int callBoot, boolean answered, Duration took) {
		this.busy = this.busy.plus(took);
		this.durations.add(took);
		if (callBoot == this.boot) {
			this.inFlight--;
			this.answersSinceBoot += answered ? 1 : 0;
		}
	}

	synchronized void restarted() {
		this.boot++;
		this.inFlight = 0;
		this.answersSinceBoot = 0;
	}

	synchronized void executed(String input, String executionId, String callId) {
		this.executions.computeIfAbsent(input, (key) -> new ArrayList<>()).add(executionId);
		this.runCalls.add(callId);
	}

	synchronized void cancelledByCaller() {
		this.cancelled++;
	}

	/**
	 * Returns the calls that were started.
	 * @return the number of calls
	 */
	public synchronized int started() {
		return this.started;
	}

	/**
	 * Returns the calls in flight.
	 * @return the number of calls
	 */
	public synchronized int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns how often a call started while more were in flight than a cold endpoint
	 * bears.
	 * @return the number of calls
	 */
	public synchronized int coldOverloads() {
		return this.coldOverloads;
	}

	/**
	 * Returns how often a call started while more were in flight than a warm endpoint
	 * bears.
	 * @return the number of calls
	 */
	public synchronized int warmOverloads() {
		return this.warmOverloads;
	}

	/**
	 * Returns the largest number of calls in flight above what the endpoint bore.
	 * @return the number of calls
	 */
	public synchronized int largestExcess() {
		return this.largestExcess;
	}

	/**
	 * Returns the answers since the last start.
	 * @return the number of answers
	 */
	public synchronized int answersSinceBoot() {
		return this.answersSinceBoot;
	}

	/**
	 * Returns the streams that the caller cancelled.
	 * @return the number of streams
	 */
	public synchronized int cancelled() {
		return this.cancelled;
	}

	/**
	 * Returns the time of all calls added up.
	 * @return the busy time
	 */
	public synchronized Duration busyTime() {
		return this.busy;
	}

	/**
	 * Returns how long each call took.
	 * @return the times in the order in which the calls ended
	 */
	public synchronized List<Duration> durations() {
		return List.copyOf(this.durations);
	}

	/**
	 * Returns the execution ids of each input that ran.
	 * @return the ids by the input's JSON text
	 */
	public synchronized Map<String, List<String>> executions() {
		Map<String, List<String>> copy = new HashMap<>();
		this.executions.forEach((input, ids) -> copy.put(input, List.copyOf(ids)));
		return copy;
	}

	/**
	 * Returns the ids of the calls that ran.
	 * @return the call ids in order
	 */
	public synchronized List<String> runCalls() {
		return List.copyOf(this.runCalls);
	}

}
