package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.model.InstanceId;

/**
 * Estimate of the true time that does not follow steps of a minority of wall clocks.
 * Answers when the clocks of some machines are set back or forward while windows of true
 * time are counted.
 *
 * <p>
 * All instances share the steady clock of the store. Each one knows how far its own wall
 * clock is ahead of it; the median of these differences over all instances, added to the
 * store's clock, is the true time. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class TrueClock {

	/** Differences of instances that have not been heard for this time are dropped. */
	private static final Duration MAXIMUM_AGE = Duration.ofSeconds(30);

	/**
	 * Differences farther from the own one than this refer to another origin of the
	 * store's clock.
	 */
	private static final Duration LARGEST_CLOCK_ERROR = Duration.ofSeconds(30);

	private final Map<InstanceId, HeardDifference> heard = new HashMap<>();

	private Optional<Duration> storeLessElapsed = Optional.empty();

	/**
	 * Accepts the store's clock from one of its answers.
	 * @param sentAt the elapsed time at which the call was sent
	 * @param receivedAt the elapsed time at which its answer arrived
	 * @param storeTime the store's clock at some moment in between
	 */
	public void onStoreTime(Duration sentAt, Duration receivedAt, Duration storeTime) {
		Duration atLeast = storeTime.minus(receivedAt);
		Duration atMost = storeTime.minus(sentAt);
		boolean wentBack = this.storeLessElapsed.filter((known) -> known.compareTo(atMost) > 0).isPresent();
		if (wentBack) {
			this.heard.clear();
		}
		boolean better = this.storeLessElapsed.filter((known) -> known.compareTo(atLeast) >= 0).isEmpty();
		if (better || wentBack) {
			this.storeLessElapsed = Optional.of(atLeast);
		}
	}

	/**
	 * Accepts how far the wall clock of another instance is ahead of the store's.
	 * @param instance the instance
	 * @param difference the difference
	 * @param now the clocks
	 */
	public void onDifference(InstanceId instance, Duration difference, ClockReading now) {
		this.heard.put(instance, new HeardDifference(difference, now.elapsed()));
	}

	/**
	 * Returns how far the own wall clock is ahead of the store's.
	 * @param now the clocks
	 * @return the difference; empty until the store has answered
	 */
	public Optional<Duration> difference(ClockReading now) {
		return this.storeLessElapsed.map((offset) -> now.wall().minus(now.elapsed()).minus(offset));
	}

	/**
	 * Returns how far the true time is ahead of the elapsed time of this process.
	 * @param now the clocks
	 * @return the time since the start of 1970 less the elapsed time; from the own wall
	 * clock until the store has answered
	 */
	public Duration trueLessElapsed(ClockReading now) {
		Optional<Duration> own = difference(now);
		if (own.isEmpty()) {
			return now.wall().minus(now.elapsed());
		}
		this.heard.values().removeIf((difference) -> now.elapsed().minus(difference.at()).compareTo(MAXIMUM_AGE) > 0);
		List<Duration> differences = new ArrayList<>(List.of(own.get()));
		this.heard.values()
			.stream()
			.map(HeardDifference::difference)
			.filter((difference) -> difference.minus(own.get()).abs().compareTo(LARGEST_CLOCK_ERROR) < 0)
			.forEach(differences::add);
		differences.sort(null);
		return this.storeLessElapsed.orElseThrow().plus(differences.get((differences.size() - 1) / 2));
	}

	/**
	 * Difference that another instance has told.
	 *
	 * @param difference how far its wall clock is ahead of the store's clock
	 * @param at the elapsed time at which it was heard
	 */
	private record HeardDifference(Duration difference, Duration at) {

	}

}
