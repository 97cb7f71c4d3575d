package io.wagtailmux.engine.state;

import java.time.Duration;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import io.wagtailmux.decision.availability.EndpointAvailability;
import io.wagtailmux.engine.EngineMetrics;
import io.wagtailmux.engine.port.EndpointAnswer;
import io.wagtailmux.engine.port.ReportedLoad;
import io.wagtailmux.engine.port.StatedAwayTime;

/**
 * Records what endpoints say about themselves in their answers: their load, their limit,
 * that they are leaving, and for how long they want nothing. Used on the traffic thread
 * only.
 *
 * @author the wagtailmux developers
 */
public final class EndpointStatements {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	/** Status of another process than the one that the request was meant for. */
	private static final int MISDIRECTED = 421;

	private final EngineMetrics metrics;

	private final StatedSpeeds speeds;

	/**
	 * Creates the recorder.
	 * @param metrics counts the statements
	 * @param speeds keeps what is told to other instances
	 */
	public EndpointStatements(EngineMetrics metrics, StatedSpeeds speeds) {
		this.metrics = metrics;
		this.speeds = speeds;
	}

	/**
	 * Records the statements of an answer. Those of another process that now has the
	 * endpoint's address are ignored.
	 * @param endpoint the endpoint that was called
	 * @param answer the answer
	 * @param call what the endpoint was called for, for the log
	 * @param now the elapsed time
	 */
	public void record(LiveEndpoint endpoint, EndpointAnswer answer, String call, Duration now) {
		if (answer.status() == MISDIRECTED) {
			return;
		}
		answer.load().ifPresent((load) -> recordLoad(endpoint, load, now));
		endpoint.recordStatedLimit(answer.limit(), now);
		endpoint.recordBrittle(answer.brittle(), now);
		if (answer.leaving() && endpoint.availability().recordLeaving()) {
			this.metrics.recordEndpointLeaving();
			event(endpoint, answer, call).log("endpoint leaves");
		}
		recordAwayTime(endpoint, answer, call, now);
	}

	private void recordLoad(LiveEndpoint endpoint, ReportedLoad load, Duration now) {
		endpoint.load().updateReportedLoad(load.running(), load.waiting(), now);
		load.workTime().ifPresent((workTime) -> {
			endpoint.load().speed().onStated(workTime, now);
			this.speeds.record(endpoint.entry(), workTime, now);
		});
	}

	private void recordAwayTime(LiveEndpoint endpoint, EndpointAnswer answer, String call, Duration now) {
		StatedAwayTime stated = answer.awayTime();
		if (stated.time().isEmpty() && stated.unreadable().isEmpty()) {
			return;
		}
		Duration time = stated.time().orElse(EndpointAvailability.UNREADABLE_AWAY_TIME);
		boolean longer = endpoint.availability().recordAway(time, now);
		this.metrics.recordEndpointAway();
		LoggingEventBuilder event = event(endpoint, answer, call)
			.addKeyValue("forMs", endpoint.availability().awayUntil().minus(now).toMillis())
			.addKeyValue("longer", longer);
		stated.unreadable().ifPresent((text) -> event.addKeyValue("unreadable", text));
		event.log("endpoint stays away");
	}

	private static LoggingEventBuilder event(LiveEndpoint endpoint, EndpointAnswer answer, String call) {
		return LOG.atInfo()
			.addKeyValue("endpoint", endpoint.entry().id())
			.addKeyValue("startedAt", endpoint.entry().startedAtMillis())
			.addKeyValue("status", answer.status())
			.addKeyValue("call", call);
	}

}
