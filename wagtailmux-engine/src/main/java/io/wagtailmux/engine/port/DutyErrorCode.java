package io.wagtailmux.engine.port;

/**
 * Reason why a call of the holder of the duties failed.
 *
 * @author the wagtailmux developers
 */
public enum DutyErrorCode {

	/** The receiver refused the call for now, or was not reached. */
	REFUSED,

	/** The receiver will not take the call, however often it is made. */
	REJECTED,

	/** The permission to make the call had ended. */
	NOT_HELD,

	/** No answer or an unexpected one arrived; the call may have been accepted. */
	NO_ANSWER

}
