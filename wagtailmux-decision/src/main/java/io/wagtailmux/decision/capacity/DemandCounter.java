package io.wagtailmux.decision.capacity;

/**
 * Counts the demand for one pool at one instance. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class DemandCounter {

	private int busy;

	private long arrivals;

	private long refused;

	/**
	 * Counts a request for the pool, whether it is admitted or not.
	 */
	public void recordArrival() {
		this.arrivals++;
	}

	/**
	 * Counts a request that was refused for lack of room.
	 */
	public void recordRefusal() {
		this.refused++;
	}

	/**
	 * Changes the number of requests at the pool's endpoints.
	 * @param change one at the start of a call, minus one at its end
	 */
	public void changeBusy(int change) {
		this.busy += change;
	}

	/**
	 * Returns the demand.
	 * @return the counts of this moment
	 */
	public DemandSample sample() {
		return new DemandSample(this.busy, this.arrivals, this.refused);
	}

}
