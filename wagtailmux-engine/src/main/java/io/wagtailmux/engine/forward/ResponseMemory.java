package io.wagtailmux.engine.forward;

/**
 * Memory for the parts of endpoints' responses that are not passed on yet, shared by all
 * calls of this instance. Used on the traffic thread only.
 *
 * <p>
 * A response of usual size is always held. Only larger ones share a limit, so that
 * endpoints that send bytes without end cannot use up the memory, nor keep out the
 * responses of others.
 *
 * @author the wagtailmux developers
 */
public final class ResponseMemory {

	/** Responses up to this size do not count. */
	private static final int FREE_BYTES = 65_536;

	private static final int PARTS_OF_ALL_MEMORY = 8;

	private final long maximum;

	private long used;

	/**
	 * Creates the memory.
	 * @param maximum the number of bytes for all responses together, beyond the usual
	 * size of each
	 */
	public ResponseMemory(long maximum) {
		this.maximum = maximum;
	}

	/**
	 * Creates a memory of a size that suits this process.
	 * @return the memory
	 */
	public static ResponseMemory ofProcess() {
		return new ResponseMemory(Runtime.getRuntime().maxMemory() / PARTS_OF_ALL_MEMORY);
	}

	/**
	 * Creates the reservation of one response, which holds no bytes at first.
	 * @return the reservation
	 */
	Reservation newReservation() {
		return new Reservation();
	}

	/**
	 * The bytes of one response.
	 */
	final class Reservation {

		private long reserved;

		/**
		 * Changes the number of bytes that are held.
		 * @param bytes the number
		 * @return false if there is no memory for them; then nothing is changed
		 */
		boolean hold(long bytes) {
			long needed = Math.max(0, bytes - FREE_BYTES);
			long usedThen = ResponseMemory.this.used - this.reserved + needed;
			if (needed > this.reserved && usedThen > ResponseMemory.this.maximum) {
				return false;
			}
			ResponseMemory.this.used = usedThen;
			this.reserved = needed;
			return true;
		}

	}

}
