package io.wagtailmux.decision.ownership;

/**
 * Resources of the machine that an instance runs on.
 *
 * @param cores the processor time that the instance may use, in seconds per second,
 * greater than zero
 * @param linkMegabits the bandwidth of the machine's network link, in Mbit/s, greater
 * than zero
 * @author the wagtailmux developers
 */
public record InstanceCapacity(double cores, double linkMegabits) {

	/** Assumed for an instance that does not state its capacity. */
	public static final InstanceCapacity DEFAULT = new InstanceCapacity(1, 1000);

	/**
	 * Creates the capacity.
	 * @throws IllegalArgumentException if a value is not a positive number
	 */
	public InstanceCapacity {
		if (!(cores > 0) || !(linkMegabits > 0)) {
			throw new IllegalArgumentException(
					"capacity must be positive, but is " + cores + " cores and " + linkMegabits + " Mbit/s");
		}
	}

	/**
	 * Returns the weight of the instance in the choice of an owner. A duty needs both
	 * resources and takes a smaller part of each from a larger machine, so the weight
	 * grows with both.
	 * @return a positive number, to be compared with that of other instances only
	 */
	double weight() {
		return this.cores * this.linkMegabits;
	}

}
