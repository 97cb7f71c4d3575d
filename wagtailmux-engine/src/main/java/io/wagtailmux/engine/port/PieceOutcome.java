package io.wagtailmux.engine.port;

import java.util.Optional;

/**
 * What became of a piece.
 *
 * @param handle the result, if there is one
 * @param failure why there is none
 * @author the wagtailmux developers
 */
public record PieceOutcome(Optional<ResultHandle> handle, Optional<PieceFailure> failure) {

	/**
	 * Creates the outcome of a piece that was made.
	 * @param handle the result
	 * @return the outcome
	 */
	public static PieceOutcome succeeded(ResultHandle handle) {
		return new PieceOutcome(Optional.of(handle), Optional.empty());
	}

	/**
	 * Creates the outcome of a piece that was not made.
	 * @param failure why not
	 * @return the outcome
	 */
	public static PieceOutcome failed(PieceFailure failure) {
		return new PieceOutcome(Optional.empty(), Optional.of(failure));
	}

}
