package io.wagtailmux.daemon.traffic;

import java.time.Duration;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.Refusal;
import io.wagtailmux.decision.Ticket;
import io.wagtailmux.decision.retry.RetryVerdict;

/**
 * Logs one line for each routing decision: the call and its organisation or endpoint, the
 * choice, the reason and, for an assignment, the endpoints ranked next.
 *
 * @author the wagtailmux developers
 */
final class DecisionLog {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	void logAssignment(Assignment assignment, Duration waitingTime) {
		LOG.atInfo()
			.addKeyValue("decision", "route")
			.addKeyValue("call", assignment.ticket().call())
			.addKeyValue("organisation", assignment.ticket().organisation().id())
			.addKeyValue("chosen", assignment.endpoint().id())
			.addKeyValue("zone", assignment.endpoint().zone())
			.addKeyValue("version", assignment.endpoint().version())
			.addKeyValue("inFlight", assignment.inFlight())
			.addKeyValue("waitedMs", waitingTime.toMillis())
			.addKeyValue("why", assignment.reason())
			.addKeyValue("runnersUp", assignment.runnersUp())
			.log("route");
	}

	void logRefusal(Ticket ticket, Refusal refusal) {
		LOG.atInfo()
			.addKeyValue("decision", "refuse")
			.addKeyValue("call", ticket.call())
			.addKeyValue("organisation", ticket.organisation().id())
			.addKeyValue("chosen", refusal.reason())
			.addKeyValue("retryAfterMs", refusal.retryAfter().toMillis())
			.addKeyValue("why", refusal.detail())
			.log("refuse");
	}

	void logFailure(Assignment assignment, CallResult result, RetryVerdict verdict) {
		LOG.atInfo()
			.addKeyValue("decision", "retry")
			.addKeyValue("call", assignment.ticket().call())
			.addKeyValue("endpoint", assignment.endpoint().id())
			.addKeyValue("outcome", result.outcome())
			.addKeyValue("chosen", verdict)
			.addKeyValue("why", result.detail())
			.log("retry");
	}

}
