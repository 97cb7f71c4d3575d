package io.wagtailmux.decision.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.wagtailmux.decision.duty.DutyHolder;

/**
 * Demand for one pool as all instances tell it. What an instance told replaces what it
 * told before; one that tells nothing any more is left out. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class DemandCollection {

	/** Refused requests count as at most this many times what is served. */
	private static final double MOST_UNSERVED = 2;

	private final Duration lifetime;

	private final Map<DutyHolder, Told> told = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param lifetime how long a sample counts, several times the interval at which
	 * instances tell theirs
	 */
	public DemandCollection(Duration lifetime) {
		this.lifetime = lifetime;
	}

	/**
	 * Accepts a sample.
	 * @param source the process that tells it
	 * @param sample the sample
	 * @param now the elapsed time
	 */
	public void add(DutyHolder source, DemandSample sample, Duration now) {
		Told before = this.told.get(source);
		DemandSample base = (before != null) ? before.sample() : sample;
		this.told.put(source, new Told(sample, base, now));
	}

	/**
	 * Returns how many places at endpoints the callers of all instances need now.
	 * @param now the elapsed time
	 * @return the places that are taken, and a part for requests that were refused since
	 * the samples before; zero if there are no samples
	 */
	public double places(Duration now) {
		this.told.values().removeIf((entry) -> now.minus(entry.at()).compareTo(this.lifetime) > 0);
		double busy = 0;
		double arrivals = 0;
		double refused = 0;
		for (Told entry : this.told.values()) {
			busy += entry.sample().busy();
			arrivals += Math.max(0, entry.sample().arrivals() - entry.before().arrivals());
			refused += Math.max(0, entry.sample().refused() - entry.before().refused());
		}
		double served = arrivals - refused;
		double unserved = (refused <= 0) ? 1 : (served > 0) ? arrivals / served : MOST_UNSERVED;
		return busy * Math.min(MOST_UNSERVED, unserved);
	}

	/**
	 * Samples of one process.
	 *
	 * @param sample the newest sample
	 * @param before the one before it
	 * @param at when it was told
	 */
	private record Told(DemandSample sample, DemandSample before, Duration at) {

	}

}
