package io.wagtailmux.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;

/**
 * Holds the gates of all pools. A pool keeps its gate, with the queue and the
 * measurements, across configurations for as long as its definition stays the same. The
 * gate of a pool that is no longer configured is kept too. Requests in progress go on
 * using the gates that they started with. Used by the control thread only.
 *
 * @author the wagtailmux developers
 */
public final class PoolGates {

	private final Map<PoolId, Entry> entries = new HashMap<>();

	private final SplittableRandom random = new SplittableRandom();

	private final DispatchPolicy policy;

	private final TimeSource time;

	/**
	 * Creates an empty collection of gates.
	 * @param policy how tickets are queued and endpoints are chosen
	 * @param time the clock for deadlines
	 */
	public PoolGates(DispatchPolicy policy, TimeSource time) {
		this.policy = policy;
		this.time = time;
	}

	/**
	 * Returns the gate of a pool, and creates it if there is none or if the definition of
	 * the pool has changed.
	 * @param pool the pool as currently configured
	 * @return the gate
	 */
	public PoolGate gateOf(Pool pool) {
		Entry entry = this.entries.get(pool.id());
		if (entry == null || !entry.pool.equals(pool)) {
			entry = new Entry(pool, new PoolGate(pool, this.policy, this.time, this.random.split()));
			this.entries.put(pool.id(), entry);
		}
		return entry.gate;
	}

	private record Entry(Pool pool, PoolGate gate) {

	}

}
