package io.wagtailmux.model;

/**
 * Thrown when a value of the model is invalid. The message names the type or field and
 * the invalid value.
 *
 * @author the wagtailmux developers
 */
public final class ModelException extends RuntimeException {

	private final ModelErrorCode code;

	/**
	 * Creates the error.
	 * @param code the kind of error
	 * @param message the type or field and the invalid value
	 */
	public ModelException(ModelErrorCode code, String message) {
		super(message);
		this.code = code;
	}

	/**
	 * Returns the kind of error.
	 * @return the code
	 */
	public ModelErrorCode code() {
		return this.code;
	}

}
