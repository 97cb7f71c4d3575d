package io.wagtailmux.daemon.operator;

/**
 * Thrown when a request of an operator is rejected or fails.
 *
 * @author the wagtailmux developers
 */
final class OperatorException extends RuntimeException {

	private final OperatorErrorCode code;

	OperatorException(OperatorErrorCode code, String message) {
		super(message);
		this.code = code;
	}

	OperatorErrorCode code() {
		return this.code;
	}

}
