package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.stream.Stream;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * The load of one endpoint of a stage pool: calls in flight, available memory for
 * results, and speed. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class StageEndpointLoad {

	/** The weight of a new sample in the moving average of the slowness. */
	private static final double SLOWNESS_GAIN = 0.3;

	private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(60);

	private static final Duration INITIAL_PAUSE_AFTER_FAILURE = Duration.ofMillis(300);

	private static final Duration MAXIMUM_PAUSE_AFTER_FAILURE = Duration.ofSeconds(2);

	private final BatchCapacity capacity;

	private final AvailabilityZoneId zone;

	private boolean usable = true;

	private int calls;

	private long usedBytes;

	private long bytesOfFullCall;

	/** The moving average of measured over expected call durations. */
	private double slowness = 1;

	private Duration pausedUntil = Duration.ZERO;

	private Duration awayUntil = Duration.ZERO;

	private Duration expectedEnd = Duration.ZERO;

	private Duration pauseAfterFailure = INITIAL_PAUSE_AFTER_FAILURE;

	StageEndpointLoad(BatchCapacity capacity, AvailabilityZoneId zone) {
		this.capacity = capacity;
		this.zone = zone;
	}

	void updateUsable(boolean isUsable) {
		this.usable = isUsable;
	}

	boolean usable() {
		return this.usable;
	}

	void stayAway(Duration until) {
		this.awayUntil = until;
	}

	Duration awayUntil() {
		return this.awayUntil;
	}

	/**
	 * Returns whether the endpoint works off the queue, now or when its call has ended.
	 * @param now the elapsed time
	 * @return false if it is not usable or stays away
	 */
	boolean working(Duration now) {
		return this.usable && now.compareTo(this.awayUntil) >= 0;
	}

	AvailabilityZoneId zone() {
		return this.zone;
	}

	boolean removable() {
		return !this.usable && this.calls == 0;
	}

	boolean available(Duration now) {
		return working(now) && this.calls < this.capacity.slots() && now.compareTo(this.pausedUntil) >= 0;
	}

	double slowness() {
		return this.slowness;
	}

	long freeResultBytes() {
		return this.capacity.resultMemoryBytes() - this.usedBytes;
	}

	/**
	 * Returns the expected time until the endpoint can get a new call, estimated from the
	 * call that was started last.
	 * @param now the elapsed time
	 * @return the time; zero if it can get one now
	 */
	Duration timeUntilFree(Duration now) {
		if (available(now)) {
			return Duration.ZERO;
		}
		Duration until = Stream.of(this.expectedEnd, this.pausedUntil, this.awayUntil)
			.max(Duration::compareTo)
			.orElseThrow();
		return (until.compareTo(now) > 0) ? until.minus(now) : Duration.ZERO;
	}

	void onCallStarted(long resultBytes, int pieces, Duration now) {
		this.calls++;
		this.expectedEnd = now
			.plusNanos((long) (this.capacity.expectedTime(pieces).toNanos() * Math.max(1, this.slowness)));
		this.usedBytes += resultBytes;
		this.bytesOfFullCall = resultBytes / Math.max(1, pieces) * this.capacity.maximumPieces();
	}

	/**
	 * Returns the memory that a full call would need, by the results of the last call.
	 * @return the size in bytes; zero before the first call
	 */
	long bytesOfFullCall() {
		return this.bytesOfFullCall;
	}

	void onResultsFreed(long bytes) {
		this.usedBytes = Math.max(0, this.usedBytes - bytes);
	}

	void forgiveFailures() {
		this.pausedUntil = Duration.ZERO;
		this.pauseAfterFailure = INITIAL_PAUSE_AFTER_FAILURE;
	}

	void onCallEnded(BatchOutcome outcome, Duration duration, Duration expected, Duration now) {
		this.calls--;
		if (outcome == BatchOutcome.ANSWERED) {
			double sample = (double) duration.toNanos() / expected.toNanos();
			this.slowness += SLOWNESS_GAIN * (sample - this.slowness);
			this.pauseAfterFailure = INITIAL_PAUSE_AFTER_FAILURE;
		}
		else if (outcome == BatchOutcome.REFUSED) {
			this.pausedUntil = now.plus(PAUSE_AFTER_REFUSAL);
		}
		else {
			this.pausedUntil = now.plus(this.pauseAfterFailure);
			Duration doubled = this.pauseAfterFailure.multipliedBy(2);
			this.pauseAfterFailure = (doubled.compareTo(MAXIMUM_PAUSE_AFTER_FAILURE) < 0) ? doubled
					: MAXIMUM_PAUSE_AFTER_FAILURE;
		}
	}

}
