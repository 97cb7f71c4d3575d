package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.wagtailmux.decision.poison.PoisonDetector;
import io.wagtailmux.decision.poison.PoisonVerdict;
import io.wagtailmux.engine.state.PoolTraffic;

/**
 * What of one request may crash endpoints: the request itself and the shared parts of its
 * prompt. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class RequestSuspects {

	private final PoolTraffic pool;

	private final List<PoolTraffic> stagePools;

	private final CrashWatch crashWatch;

	private final String request;

	private final List<String> parts;

	/**
	 * Creates the suspects of a request.
	 * @param pool the pool that the request goes to
	 * @param stagePools the pools that run its stages
	 * @param crashWatch knows which endpoints are being checked
	 * @param fingerprint the identity of the request
	 * @param sharedParts the ids of the shared parts of its prompt; regarded only if the
	 * endpoints are model engines
	 */
	RequestSuspects(PoolTraffic pool, List<PoolTraffic> stagePools, CrashWatch crashWatch,
			RequestFingerprint fingerprint, List<String> sharedParts) {
		this.pool = pool;
		this.stagePools = stagePools;
		this.crashWatch = crashWatch;
		this.request = fingerprint.value();
		this.parts = pool.pool().engine().isPresent() ? List.copyOf(sharedParts) : List.of();
	}

	/**
	 * Returns all suspects.
	 * @return the ids of the request and of the parts
	 */
	List<String> ids() {
		List<String> ids = new ArrayList<>(this.parts);
		ids.add(this.request);
		return ids;
	}

	/**
	 * Returns why the request must not be sent to an endpoint.
	 * @param now the elapsed time
	 * @return the rejection; empty if it may be sent
	 */
	Optional<RejectionException> rejection(Duration now) {
		Optional<RejectionException> asRequest = Stream.concat(Stream.of(this.pool), this.stagePools.stream())
			.flatMap((each) -> rejectionAsRequest(each, now).stream())
			.findFirst();
		if (asRequest.isPresent()) {
			return asRequest;
		}
		PoisonVerdict byParts = this.parts.isEmpty() ? PoisonVerdict.ALLOWED : this.pool.poisonVerdict(this.parts, now);
		return switch (byParts) {
			case REFUSED -> Optional.of(new RejectionException(RejectionCode.PROMPT_PART_REFUSED,
					"one of the prompt parts " + this.parts + " crashes endpoints"));
			case SUSPECTED -> Optional.of(new RejectionException(RejectionCode.PROMPT_PART_SUSPECTED,
					"one of the prompt parts " + this.parts + " may crash endpoints"));
			case ALLOWED -> Optional.empty();
		};
	}

	private Optional<RejectionException> rejectionAsRequest(PoolTraffic crashing, Duration now) {
		PoisonVerdict verdict = crashing.poisonVerdict(List.of(this.request), now);
		if (verdict == PoisonVerdict.ALLOWED) {
			return Optional.empty();
		}
		boolean refused = verdict == PoisonVerdict.REFUSED;
		return Optional.of(new RejectionException(
				refused ? RejectionCode.REQUEST_REFUSED : RejectionCode.REQUEST_SUSPECTED,
				this.request + (refused ? " crashes" : " may crash") + " endpoints of pool " + crashing.pool().id()));
	}

	/**
	 * Returns whether the request may be the cause of an end: it was at an endpoint that
	 * ended before, or has a prompt part that was never answered.
	 * @return whether it may be sent to another endpoint only if the last one is alive
	 */
	boolean mayHaveCrashedEndpoint() {
		PoisonDetector detector = this.pool.poison();
		return !detector.proven(this.parts) || detector.hasEnds(this.request)
				|| this.crashWatch.isChecking(this.request);
	}

	/**
	 * Records that an endpoint survived the request.
	 * @param startedAt the elapsed time at which the request was sent to it
	 * @param now the elapsed time
	 */
	void recordHarmless(Duration startedAt, Duration now) {
		this.pool.poison().recordSuccess(ids(), startedAt, now);
	}

}
