package io.wagtailmux.decision.stage;

import java.time.Duration;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * What the owner of a stage pool knows of one endpoint: calls in flight, room for
 * results, speed.
 *
 * @author the wagtailmux developers
 */
final class StageEndpointLoad {

	private static final double SPEED_GAIN = 0.3;

	private static final Duration REFUSED_PAUSE = Duration.ofMillis(60);

	private static final Duration FIRST_BROKEN_PAUSE = Duration.ofMillis(300);

	private static final Duration LONGEST_BROKEN_PAUSE = Duration.ofSeconds(2);

	private final BatchCapacity capacity;

	private final AvailabilityZoneId zone;

	private boolean usable = true;

	private int calls;

	private long usedBytes;

	private double slowness = 1;

	private Duration pausedUntil = Duration.ZERO;

	private Duration expectedEnd = Duration.ZERO;

	private Duration brokenPause = FIRST_BROKEN_PAUSE;

	StageEndpointLoad(BatchCapacity capacity, AvailabilityZoneId zone) {
		this.capacity = capacity;
		this.zone = zone;
	}

	void usable(boolean next) {
		this.usable = next;
	}

	boolean usable() {
		return this.usable;
	}

	AvailabilityZoneId zone() {
		return this.zone;
	}

	boolean forgettable() {
		return !this.usable && this.calls == 0;
	}

	boolean free(Duration now) {
		return this.usable && this.calls < this.capacity.slots() && now.compareTo(this.pausedUntil) >= 0;
	}

	double slowness() {
		return this.slowness;
	}

	long room() {
		return this.capacity.resultMemoryBytes() - this.usedBytes;
	}

	/**
	 * Returns how long it takes until the endpoint is free.
	 * @param now the elapsed time
	 * @return zero if it is free
	 */
	Duration residual(Duration now) {
		if (free(now)) {
			return Duration.ZERO;
		}
		Duration until = (this.expectedEnd.compareTo(this.pausedUntil) > 0) ? this.expectedEnd : this.pausedUntil;
		return (until.compareTo(now) > 0) ? until.minus(now) : Duration.ZERO;
	}

	void started(long resultBytes, int pieces, Duration now) {
		this.calls++;
		this.expectedEnd = now
			.plusNanos((long) (this.capacity.expectedTime(pieces).toNanos() * Math.max(1, this.slowness)));
		this.usedBytes += resultBytes;
	}

	void freed(long bytes) {
		this.usedBytes = Math.max(0, this.usedBytes - bytes);
	}

	void ended(BatchOutcome end, Duration took, Duration expected, Duration now) {
		this.calls--;
		if (end == BatchOutcome.ANSWERED) {
			double sample = (double) took.toNanos() / expected.toNanos();
			this.slowness += SPEED_GAIN * (sample - this.slowness);
			this.brokenPause = FIRST_BROKEN_PAUSE;
		}
		else if (end == BatchOutcome.REFUSED) {
			this.pausedUntil = now.plus(REFUSED_PAUSE);
		}
		else {
			this.pausedUntil = now.plus(this.brokenPause);
			Duration doubled = this.brokenPause.multipliedBy(2);
			this.brokenPause = (doubled.compareTo(LONGEST_BROKEN_PAUSE) < 0) ? doubled : LONGEST_BROKEN_PAUSE;
		}
	}

}
