package io.wagtailmux.decision.capacity;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.CapacityRange;

/**
 * Decides how many endpoints a pool should have in each availability zone. Answers when
 * demand comes in waves, steps and bursts, when a zone is lost, and when an evacuated one
 * returns, although a new endpoint serves only after its boot time.
 *
 * <p>
 * The number follows from the largest need of the recent past and from its growth over
 * the boot time to come. It is raised at once, and lowered when it was too large for as
 * long as it would take to get the endpoints back. All zones get the same number, so that
 * the others bear the load if one is lost. An evacuated zone keeps its number: its
 * endpoints are there when it returns. Orders state a number and not a change, so that
 * endpoints that are still booting are not ordered twice. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class CapacityPlan {

	/**
	 * Part of the places that should be taken: requests at a full engine slow each other,
	 * and the need differs from endpoint to endpoint.
	 */
	private static final double PLANNED_USE = 0.6;

	/** Part of the places that may be taken while one zone is lost. */
	private static final double USE_AFTER_LOSS = 0.85;

	/** Part of the present number that an order changes at least. */
	private static final double SMALLEST_CHANGE = 0.125;

	/** Growth is extrapolated to at most this many times the present need. */
	private static final double LARGEST_GROWTH = 2;

	/** An order that was not accepted is repeated after this time. */
	private static final Duration REPEAT_PAUSE = Duration.ofSeconds(1);

	private final PoolId pool;

	private final CapacityRange range;

	private final Deque<Need> needs = new ArrayDeque<>();

	private final Map<AvailabilityZoneId, Integer> ordered = new TreeMap<>();

	private final Deque<Wanted> wanteds = new ArrayDeque<>();

	private Optional<Duration> wantedSince = Optional.empty();

	private Duration nextOrder = Duration.ZERO;

	/**
	 * Creates the plan of a pool for which this instance has ordered nothing yet.
	 * @param pool the pool
	 * @param range the numbers that may be ordered
	 */
	public CapacityPlan(PoolId pool, CapacityRange range) {
		this.pool = pool;
		this.range = range;
	}

	/**
	 * Returns the orders to send now. Those that are accepted are to be passed to
	 * {@link #onAccepted}; others are returned again after a while.
	 * @param state the state of the pool
	 * @param now the elapsed time
	 * @return the orders, one for each zone at most
	 */
	public List<CapacityOrder> next(CapacityState state, Duration now) {
		observe(state.places(), now);
		if (now.compareTo(this.nextOrder) < 0 || !hasSeenDemand()) {
			return List.of();
		}
		int wanted = wanted(state, now);
		int enough = enough(wanted, now);
		List<CapacityOrder> orders = new ArrayList<>();
		Map<AvailabilityZoneId, Integer> counts = new TreeMap<>(state.present());
		counts.putAll(this.ordered);
		counts.forEach((zone, count) -> {
			int number = Math.max(wanted, Math.min(enough, count));
			if (isWorthAnOrder(count, number)) {
				orders.add(new CapacityOrder(this.pool, zone, number));
			}
		});
		if (!orders.isEmpty()) {
			this.nextOrder = now.plus(REPEAT_PAUSE);
		}
		return orders;
	}

	/**
	 * Accepts that an order is in force.
	 * @param order the order
	 */
	public void onAccepted(CapacityOrder order) {
		this.ordered.put(order.zone(), order.endpoints());
	}

	/**
	 * Returns whether a number differs enough from the present one. The ends of the range
	 * are always worth it.
	 * @param count the present number
	 * @param number the number that would be ordered
	 * @return whether to order it
	 */
	private boolean isWorthAnOrder(int count, int number) {
		boolean end = number == this.range.minimum() || number == this.range.maximum();
		return number != count && (end || Math.abs(number - count) >= count * SMALLEST_CHANGE);
	}

	private void observe(double places, Duration now) {
		this.needs.addLast(new Need(now, places));
		Duration kept = this.range.bootTime().multipliedBy(2);
		while (now.minus(this.needs.getFirst().at()).compareTo(kept) > 0) {
			this.needs.removeFirst();
		}
	}

	/**
	 * Returns whether callers were there lately. Nothing is known of the need before the
	 * first requests, nor while instances that start find out about each other.
	 * @return whether any place was needed within twice the boot time
	 */
	private boolean hasSeenDemand() {
		return this.needs.stream().anyMatch((need) -> need.places() > 0);
	}

	/**
	 * Returns the number of endpoints for each zone that the need calls for.
	 * @param state the state of the pool
	 * @param now the elapsed time
	 * @return a number within the range
	 */
	private int wanted(CapacityState state, Duration now) {
		double full = forecast(now) / state.placesPerEndpoint();
		int zones = Math.max(1, state.usableZones());
		double planned = full / (PLANNED_USE * zones);
		double afterLoss = full / (USE_AFTER_LOSS * Math.max(1, zones - 1));
		int perZone = (int) Math.ceil(Math.max(planned, afterLoss));
		return Math.max(this.range.minimum(), Math.min(this.range.maximum(), perZone));
	}

	/**
	 * Returns the largest need to expect within the boot time. The peaks of two periods
	 * of that length are compared, not the need of two moments, so that the rising half
	 * of a wave is not taken for growth.
	 * @param now the elapsed time
	 * @return the places that are needed
	 */
	private double forecast(Duration now) {
		double recent = peak(now, Duration.ZERO);
		double before = peak(now, this.range.bootTime());
		double grown = Math.min(recent * LARGEST_GROWTH, recent + Math.max(0, recent - before));
		return Math.max(before, grown);
	}

	private double peak(Duration now, Duration before) {
		return this.needs.stream().filter((need) -> {
			Duration age = now.minus(need.at());
			return age.compareTo(before) >= 0 && age.compareTo(before.plus(this.range.bootTime())) < 0;
		}).mapToDouble(Need::places).max().orElse(0);
	}

	/**
	 * Returns the number that has been enough for as long as a new endpoint takes to
	 * boot.
	 * @param wanted the number that the need calls for
	 * @param now the elapsed time
	 * @return the largest number that was wanted in that time; the largest of the range
	 * if demand has not been seen for so long
	 */
	private int enough(int wanted, Duration now) {
		if (this.wantedSince.isEmpty()) {
			this.wantedSince = Optional.of(now);
		}
		this.wanteds.addLast(new Wanted(now, wanted));
		while (now.minus(this.wanteds.getFirst().at()).compareTo(this.range.bootTime()) > 0) {
			this.wanteds.removeFirst();
		}
		if (now.minus(this.wantedSince.get()).compareTo(this.range.bootTime()) < 0) {
			return this.range.maximum();
		}
		return this.wanteds.stream().mapToInt(Wanted::number).max().orElse(wanted);
	}

	/**
	 * Number that was wanted at one moment.
	 *
	 * @param at the elapsed time
	 * @param number the endpoints in each zone
	 */
	private record Wanted(Duration at, int number) {

	}

	/**
	 * Need at one moment.
	 *
	 * @param at the elapsed time
	 * @param places the places that callers needed
	 */
	private record Need(Duration at, double places) {

	}

}
