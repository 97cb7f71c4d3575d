package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.poison.EndpointEnd;
import io.wagtailmux.decision.poison.EndpointRun;
import io.wagtailmux.decision.poison.SuspectKind;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.http.Listening;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.model.TimeSource;

/**
 * Finds out whether an endpoint ended when calls to it broke off, and reports its end
 * with the requests of these calls and their prompt parts. Used on the traffic thread
 * only.
 *
 * <p>
 * A broken call alone does not show that the endpoint ended. A refused connection does,
 * and so does a registration that disappears or names another process soon after the
 * calls fell silent. Whether an endpoint had begun to answer cannot be seen from here, so
 * that all calls that were neither answered nor streaming for long count.
 *
 * @author the wagtailmux developers
 */
public final class CrashWatch {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	/** Calls that break off together with the first one are collected for this time. */
	private static final Duration CHECK_DELAY = Duration.ofMillis(20);

	/**
	 * Time for which broken calls are remembered; the registration of a silent endpoint
	 * lapses within three of its heartbeats.
	 */
	private static final Duration MEMORY = Duration.ofSeconds(10);

	/** Of each kind; bounds the memory and the messages that one end takes. */
	private static final int MAXIMUM_SUSPECTS = 64;

	private final HttpClient client;

	private final TrafficLoop loop;

	private final TimeSource time;

	private final Map<EndpointRun, BrokenCalls> broken = new LinkedHashMap<>();

	private Runnable onEnd = () -> {
	};

	/**
	 * Creates a watch without broken calls.
	 * @param client opens connections to endpoints
	 * @param time the clock
	 */
	public CrashWatch(HttpClient client, TimeSource time) {
		this.client = client;
		this.loop = client.loop();
		this.time = time;
	}

	/**
	 * Sets what is called after the end of an endpoint was recorded.
	 * @param action the action
	 */
	public void onEnd(Runnable action) {
		this.onEnd = action;
	}

	/**
	 * Returns whether a request was at an endpoint of which it is not known yet whether
	 * it has ended.
	 * @param request the id of the request
	 * @return whether a check is in progress
	 */
	boolean isChecking(String request) {
		return this.broken.values()
			.stream()
			.anyMatch((calls) -> calls.state == State.CHECKING && calls.suspects.contains(request));
	}

	/**
	 * Records a call that broke off or was not answered.
	 * @param pool the pool of the endpoint
	 * @param endpoint the endpoint
	 * @param suspects the request and the shared parts of its prompt; empty if it did not
	 * end the endpoint for certain
	 * @param sentAt the elapsed time at which the request was sent
	 * @param whenKnown called once with whether the endpoint has ended, as far as can be
	 * told within the time limit of a connection attempt
	 */
	public void onCallBroken(PoolTraffic pool, LiveEndpoint endpoint, Collection<String> suspects, Duration sentAt,
			Consumer<Boolean> whenKnown) {
		boolean leaving = endpoint.entry().draining() || endpoint.availability().leaving();
		if (suspects.isEmpty() || leaving) {
			whenKnown.accept(false);
			return;
		}
		forgetOld();
		EndpointRun run = new EndpointRun(endpoint.entry().id(), endpoint.entry().startedAtMillis());
		BrokenCalls calls = this.broken.get(run);
		if (calls == null) {
			calls = new BrokenCalls(run, pool, endpoint, this.time.elapsed());
			this.broken.put(run, calls);
			scheduleCheck(calls);
		}
		calls.add(suspects, sentAt);
		if (calls.state == State.CHECKING) {
			calls.listeners.add(whenKnown);
			return;
		}
		boolean ended = calls.state == State.ENDED;
		if (ended) {
			report(calls);
		}
		whenKnown.accept(ended);
	}

	/**
	 * Looks for endpoints whose registration has changed after calls to them broke off.
	 * To be called after each update of the view.
	 */
	public void onViewChanged() {
		if (this.broken.isEmpty()) {
			return;
		}
		forgetOld();
		for (BrokenCalls calls : List.copyOf(this.broken.values())) {
			boolean gone = calls.pool.endpoint(calls.run.endpoint()).filter(calls.endpoint::equals).isEmpty();
			if (gone && calls.state == State.SILENT) {
				conclude(calls, State.ENDED);
			}
		}
	}

	private void scheduleCheck(BrokenCalls calls) {
		this.loop.schedule("check of an endpoint", CHECK_DELAY,
				() -> this.client.checkEnded(calls.endpoint.destination(), (result) -> onChecked(calls, result)));
	}

	private void onChecked(BrokenCalls calls, Listening result) {
		switch (result) {
			case YES, NOT_REACHED -> {
				this.broken.remove(calls.run);
				conclude(calls, State.ALIVE);
			}
			case REFUSED -> {
				calls.endSeen = true;
				conclude(calls, State.ENDED);
			}
			case UNKNOWN -> conclude(calls, State.SILENT);
		}
	}

	private void conclude(BrokenCalls calls, State state) {
		calls.state = state;
		if (state == State.ENDED) {
			LOG.atInfo()
				.addKeyValue("endpoint", calls.run.endpoint())
				.addKeyValue("startedAt", calls.run.startedAtMillis())
				.addKeyValue("ageMs", this.time.elapsed().minus(calls.firstAt).toMillis())
				.addKeyValue("suspects", calls.suspects)
				.log("endpoint ended with requests");
			report(calls);
		}
		List<Consumer<Boolean>> listeners = List.copyOf(calls.listeners);
		calls.listeners.clear();
		listeners.forEach((listener) -> this.loop.errors()
			.run("broken call whose endpoint was checked", () -> listener.accept(state == State.ENDED)));
	}

	private void report(BrokenCalls calls) {
		calls.pool.poison()
			.recordEnd(new EndpointEnd(calls.run, calls.endpoint.entry().version(), calls.firstAt, calls.suspects,
					calls.endSeen ? calls.sentAt : Map.of()), this.time.elapsed());
		this.onEnd.run();
	}

	private void forgetOld() {
		Duration now = this.time.elapsed();
		this.broken.values()
			.removeIf((calls) -> calls.state != State.CHECKING && now.minus(calls.firstAt).compareTo(MEMORY) > 0);
	}

	/** What is known of the process whose calls broke off. */
	private enum State {

		CHECKING, ALIVE, SILENT, ENDED

	}

	/** Calls to one process that broke off. */
	private static final class BrokenCalls {

		private final EndpointRun run;

		private final PoolTraffic pool;

		private final LiveEndpoint endpoint;

		private final Duration firstAt;

		private final Set<String> suspects = new LinkedHashSet<>();

		private final Map<String, Duration> sentAt = new HashMap<>();

		private final List<Consumer<Boolean>> listeners = new ArrayList<>();

		private State state = State.CHECKING;

		private boolean endSeen;

		BrokenCalls(EndpointRun run, PoolTraffic pool, LiveEndpoint endpoint, Duration firstAt) {
			this.run = run;
			this.pool = pool;
			this.endpoint = endpoint;
			this.firstAt = firstAt;
		}

		void add(Collection<String> added, Duration sent) {
			for (String suspect : added) {
				SuspectKind kind = SuspectKind.of(suspect);
				long sameKind = this.suspects.stream().filter((known) -> SuspectKind.of(known) == kind).count();
				if (sameKind < MAXIMUM_SUSPECTS || this.suspects.contains(suspect)) {
					this.suspects.add(suspect);
					if (kind == SuspectKind.REQUEST) {
						this.sentAt.put(suspect, sent);
					}
				}
			}
		}

	}

}
