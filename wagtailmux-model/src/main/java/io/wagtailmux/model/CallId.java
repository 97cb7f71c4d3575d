package io.wagtailmux.model;

/**
 * Identifies one attempt to run a stage of a request. A response that carries a different
 * call id belongs to a different attempt and is never delivered to the caller.
 *
 * <p>
 * Written as {@code request/stage/attempt}.
 *
 * @param request the request
 * @param stage the stage
 * @param attempt the number of the attempt, starting at one
 * @author the wagtailmux developers
 */
public record CallId(RequestId request, StageName stage, int attempt) {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if the attempt is
	 * less than one
	 */
	public CallId {
		if (attempt < 1) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE, "CallId: attempt " + attempt + " is below 1");
		}
	}

	@Override
	public String toString() {
		return this.request + "/" + this.stage + "/" + this.attempt;
	}

}
