package io.wagtailmux.engine.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.port.ResultHandle;

/**
 * Outcomes of a group of pieces. A failed group is reported without waiting for its other
 * pieces, which may then be absent.
 *
 * @param outcomes the outcomes by the index of the piece; copied
 * @param waits the wait of new pieces at the pool
 * @author the wagtailmux developers
 */
public record PieceGroupResult(Map<Integer, PieceOutcome> outcomes, WaitReport waits) {

	/**
	 * Creates the result.
	 */
	public PieceGroupResult {
		outcomes = Map.copyOf(outcomes);
	}

	/**
	 * Creates the result of a group of which all pieces failed for the same reason.
	 * @param group the group
	 * @param failure the reason
	 * @param waits the wait of new pieces at the pool
	 * @return the result
	 */
	public static PieceGroupResult failed(PieceGroup group, PieceFailure failure, WaitReport waits) {
		Map<Integer, PieceOutcome> outcomes = new HashMap<>();
		group.pieces().forEach((piece) -> outcomes.put(piece, PieceOutcome.failed(failure)));
		return new PieceGroupResult(outcomes, waits);
	}

	/**
	 * Returns the failure of the group.
	 * @return the failure of any piece; empty if all pieces succeeded
	 */
	public Optional<PieceFailure> failure() {
		return this.outcomes.values().stream().flatMap((outcome) -> outcome.failure().stream()).findFirst();
	}

	/**
	 * Returns the results of the pieces that succeeded.
	 * @return the results in the order of the pieces' indexes; empty if there are none
	 */
	public List<ResultHandle> handles() {
		return this.outcomes.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.flatMap((entry) -> entry.getValue().handle().stream())
			.toList();
	}

}
