package io.wagtailmux.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import io.wagtailmux.decision.placement.Placement;
import io.wagtailmux.decision.stage.BatchOutcome;
import io.wagtailmux.decision.stage.PieceBatch;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.PromptPart;

/**
 * Logs one line for each decision about a request, with the reason for it, to the logger
 * {@code decision}. Durations are logged in milliseconds. A request is identified by the
 * id of the caller's attempt.
 *
 * @author the wagtailmux developers
 */
public final class DecisionLog {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private static final int MAXIMUM_LOGGED_PARTS = 8;

	/**
	 * Logs that a request was admitted.
	 * @param attempt the request
	 * @param route its route
	 * @param configuration the version of the configuration that the decision used
	 * @param remaining the time until its deadline
	 * @param expected the expected time until its answer
	 * @param sharedParts the parts of its prompt that other requests may share, of which
	 * the first few are logged
	 * @param identity what the request has in common with its repetitions
	 */
	public void admitted(AttemptId attempt, String route, long configuration, Duration remaining, Duration expected,
			List<PromptPart> sharedParts, String identity) {
		LoggingEventBuilder event = LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("route", route)
			.addKeyValue("configuration", configuration)
			.addKeyValue("leftMs", remaining.toMillis())
			.addKeyValue("expectedMs", expected.toMillis())
			.addKeyValue("identity", identity);
		if (!sharedParts.isEmpty()) {
			event = event.addKeyValue("parts",
					sharedParts.stream().limit(MAXIMUM_LOGGED_PARTS).map(PromptPart::id).toList());
		}
		event.log("admitted");
	}

	/**
	 * Logs an answer that is dropped, since it does not name the request that is open on
	 * its connection, or not only that one.
	 * @param attempt the open request
	 * @param endpoint the endpoint
	 * @param status the HTTP status of the answer
	 * @param named the ids that the answer names
	 */
	public void answerNotNamingRequest(AttemptId attempt, EndpointId endpoint, int status, List<String> named) {
		LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("status", status)
			.addKeyValue("named", named)
			.log("answer does not name the open request");
	}

	/**
	 * Logs that a request is sent to an endpoint.
	 * @param attempt the request
	 * @param placement the chosen endpoint and the reason for the choice
	 * @param callNumber the number of this call within the request, starting at one
	 * @param remaining the time until the request's deadline
	 */
	public void placed(AttemptId attempt, Placement placement, int callNumber, Duration remaining) {
		LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("endpoint", placement.endpoint().id())
			.addKeyValue("call", callNumber)
			.addKeyValue("leftMs", remaining.toMillis())
			.addKeyValue("why", placement.reason())
			.log("placed");
	}

	/**
	 * Logs a call without an answer that may be forwarded to the caller.
	 * @param attempt the request
	 * @param endpoint the endpoint
	 * @param outcome how the call failed
	 * @param next what happens to the request: {@code next} if it is sent to another
	 * endpoint, {@code give up} if it ends
	 */
	public void callFailed(AttemptId attempt, EndpointId endpoint, String outcome, String next) {
		LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("outcome", outcome)
			.addKeyValue("next", next)
			.log("call failed");
	}

	/**
	 * Logs the end of a request.
	 * @param attempt the request
	 * @param status the HTTP status sent to the caller; zero if the caller disconnected
	 * @param outcome how it ended
	 * @param elapsed the time since the request arrived
	 * @param why the reason for this outcome
	 */
	public void ended(AttemptId attempt, int status, String outcome, Duration elapsed, String why) {
		LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("status", status)
			.addKeyValue("outcome", outcome)
			.addKeyValue("tookMs", elapsed.toMillis())
			.addKeyValue("why", why)
			.log("ended");
	}

	/**
	 * Logs that a caller's request ended before the id of the attempt was known, or that
	 * a caller's connection failed.
	 * @param status the HTTP status sent to the caller; zero if none was sent
	 * @param why what was wrong with the request, the connection or this instance
	 */
	public void notProcessed(int status, String why) {
		LOG.atInfo().addKeyValue("status", status).addKeyValue("why", why).log("request not processed");
	}

	/**
	 * Logs that a batch of pieces is sent to an endpoint.
	 * @param pool the pool that serves the stage
	 * @param batch the pieces and the chosen endpoint
	 */
	public void batch(PoolId pool, PieceBatch batch) {
		LOG.atInfo()
			.addKeyValue("pool", pool)
			.addKeyValue("endpoint", batch.endpoint())
			.addKeyValue("pieces", batch.pieces().size())
			.addKeyValue("requests", batch.pieces().stream().map((piece) -> piece.id().attempt()).distinct().toList())
			.addKeyValue("why", batch.reason())
			.log("batch");
	}

	/**
	 * Logs the end of the call for a batch of pieces. A call that takes much longer than
	 * expected was delayed by its endpoint or on a network link.
	 * @param batch the pieces and the endpoint
	 * @param outcome how the call ended
	 * @param took the duration of the call
	 * @param expected the expected duration of a call with this number of pieces
	 * @param sentBytes the size of the request's body
	 * @param failures the number of pieces that were not made, by reason
	 */
	public void batchEnded(PieceBatch batch, BatchOutcome outcome, Duration took, Duration expected, int sentBytes,
			Map<PieceFailure, Long> failures) {
		LOG.atInfo()
			.addKeyValue("endpoint", batch.endpoint())
			.addKeyValue("pieces", batch.pieces().size())
			.addKeyValue("outcome", outcome)
			.addKeyValue("tookMs", took.toMillis())
			.addKeyValue("expectedMs", expected.toMillis())
			.addKeyValue("sentBytes", sentBytes)
			.addKeyValue("notMade", failures)
			.log("batch ended");
	}

	/**
	 * Logs that the call for a batch of pieces failed.
	 * @param batch the pieces and the endpoint
	 * @param why how the call failed
	 */
	public void batchFailed(PieceBatch batch, String why) {
		LOG.atInfo()
			.addKeyValue("endpoint", batch.endpoint())
			.addKeyValue("pieces", batch.pieces().size())
			.addKeyValue("why", why)
			.log("batch failed");
	}

	/**
	 * Logs that results could not be released at their endpoint; they expire there.
	 * @param results the number of results
	 * @param why how the call failed
	 */
	public void freeFailed(int results, String why) {
		LOG.atInfo().addKeyValue("results", results).addKeyValue("why", why).log("results could not be released");
	}

	/**
	 * Logs that a request for pieces to the owner of their pool failed.
	 * @param attempt the request
	 * @param owner the id of the instance that owns the pool
	 * @param why how the call failed
	 */
	public void ownerFailed(AttemptId attempt, String owner, String why) {
		LOG.atInfo()
			.addKeyValue("request", attempt)
			.addKeyValue("owner", owner)
			.addKeyValue("why", why)
			.log("request for pieces to the pool owner failed");
	}

}
