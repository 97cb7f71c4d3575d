package io.wagtailmux.testbed.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The counts and records of calls to a stand-in of an endpoint, over all its restarts.
 * Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class EndpointCounts {

	private final Map<String, List<String>> executions = new HashMap<>();

	private final List<String> runCalls = new ArrayList<>();

	private int incarnation;

	private int started;

	private int inFlight;

	private int largestExcess;

	private int answersSinceBoot;

	private int coldOverloads;

	private int warmOverloads;

	private int cancelled;

	private final List<Duration> durations = new ArrayList<>();

	private Duration busyTime = Duration.ZERO;

	/**
	 * Records the start of a call.
	 * @param model the model of the endpoint
	 * @return the span of the call, which must be ended
	 */
	synchronized CallSpan startCall(EndpointModel model) {
		this.started++;
		this.inFlight++;
		int limit = model.concurrencyLimit(this.answersSinceBoot);
		if (this.inFlight > limit) {
			this.largestExcess = Math.max(this.largestExcess, this.inFlight - limit);
			if (limit < model.warmLimit()) {
				this.coldOverloads++;
			}
			else {
				this.warmOverloads++;
			}
		}
		return new CallSpan(this, this.incarnation, this.inFlight);
	}

	// Calls of an earlier incarnation were ended by the restart and are no longer in
	// flight.
	synchronized void onCallEnded(int callIncarnation, boolean answered, Duration duration) {
		this.busyTime = this.busyTime.plus(duration);
		this.durations.add(duration);
		if (callIncarnation == this.incarnation) {
			this.inFlight--;
			this.answersSinceBoot += answered ? 1 : 0;
		}
	}

	synchronized void onRestart() {
		this.incarnation++;
		this.inFlight = 0;
		this.answersSinceBoot = 0;
	}

	synchronized void recordExecution(String input, String executionId, String callId) {
		this.executions.computeIfAbsent(input, (key) -> new ArrayList<>()).add(executionId);
		this.runCalls.add(callId);
	}

	synchronized void recordCancellation() {
		this.cancelled++;
	}

	/**
	 * Returns the number of calls that were started.
	 * @return the number of calls
	 */
	public synchronized int started() {
		return this.started;
	}

	/**
	 * Returns the number of calls in flight.
	 * @return the number of calls
	 */
	public synchronized int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the number of calls that exceeded the concurrency limit while the endpoint
	 * was cold, that is, while the limit was below the warm limit.
	 * @return the number of calls
	 */
	public synchronized int coldOverloads() {
		return this.coldOverloads;
	}

	/**
	 * Returns the number of calls that exceeded the concurrency limit while the endpoint
	 * was warm.
	 * @return the number of calls
	 */
	public synchronized int warmOverloads() {
		return this.warmOverloads;
	}

	/**
	 * Returns the largest number of calls in flight above the concurrency limit.
	 * @return the number of calls
	 */
	public synchronized int largestExcess() {
		return this.largestExcess;
	}

	/**
	 * Returns the number of complete answers since the last start of the endpoint.
	 * @return the number of answers
	 */
	public synchronized int answersSinceBoot() {
		return this.answersSinceBoot;
	}

	/**
	 * Returns the number of streams that could not be written to the end, in general
	 * because the caller had closed the connection.
	 * @return the number of streams
	 */
	public synchronized int cancelled() {
		return this.cancelled;
	}

	/**
	 * Returns the sum of the durations of all ended calls.
	 * @return the sum, which counts concurrent calls several times
	 */
	public synchronized Duration busyTime() {
		return this.busyTime;
	}

	/**
	 * Returns the durations of all ended calls.
	 * @return an unmodifiable copy, in the order in which the calls ended
	 */
	public synchronized List<Duration> durations() {
		return List.copyOf(this.durations);
	}

	/**
	 * Returns the ids of all executions by their input.
	 * @return a copy of the execution ids, by the JSON text of the input or, for streamed
	 * calls, the prompt
	 */
	public synchronized Map<String, List<String>> executions() {
		Map<String, List<String>> copy = new HashMap<>();
		this.executions.forEach((input, ids) -> copy.put(input, List.copyOf(ids)));
		return copy;
	}

	/**
	 * Returns the ids of the calls that were executed.
	 * @return an unmodifiable copy, in the order of execution
	 */
	public synchronized List<String> runCalls() {
		return List.copyOf(this.runCalls);
	}

}
