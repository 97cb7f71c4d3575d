package io.wagtailmux.engine.port;

import java.util.Optional;

/**
 * Result or failure of a piece. Exactly one of the two is present.
 *
 * @param handle the handle of the result; empty if the piece failed
 * @param failure the reason of the failure; empty if there is a result
 * @author the wagtailmux developers
 */
public record PieceOutcome(Optional<ResultHandle> handle, Optional<PieceFailure> failure) {

	/**
	 * Creates the outcome of a piece that has a result.
	 * @param handle the handle of the result
	 * @return the outcome
	 */
	public static PieceOutcome succeeded(ResultHandle handle) {
		return new PieceOutcome(Optional.of(handle), Optional.empty());
	}

	/**
	 * Creates the outcome of a piece that has no result.
	 * @param failure the reason
	 * @return the outcome
	 */
	public static PieceOutcome failed(PieceFailure failure) {
		return new PieceOutcome(Optional.empty(), Optional.of(failure));
	}

}
