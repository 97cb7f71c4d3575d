package io.wagtailmux.engine.port;

/**
 * Thrown, through the futures of {@link RowStore}, if a call to the store failed.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
public final class StoreException extends RuntimeException {

	private final StoreErrorCode code;

	/**
	 * Creates the exception.
	 * @param code the reason
	 * @param detail the call and the observed failure, for the log
	 */
	public StoreException(StoreErrorCode code, String detail) {
		super(code + ": " + detail);
		this.code = code;
	}

	/**
	 * Returns the reason of the failure.
	 * @return the code
	 */
	public StoreErrorCode code() {
		return this.code;
	}

}
