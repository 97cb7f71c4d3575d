package io.wagtailmux.engine.stage;

import java.util.List;
import java.util.function.Consumer;

import io.wagtailmux.decision.admission.ExpectedWait;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.model.PoolId;

/**
 * Executes pieces at the endpoints of a pool, directly or through the instance that owns
 * the pool. All methods and callbacks run on the traffic thread.
 *
 * @author the wagtailmux developers
 */
public interface PieceService {

	/**
	 * Submits a group of pieces for execution. The results that {@code done} accepts are
	 * kept at the endpoints until they are released with {@link #free} or expire; a
	 * failed group may have some as well.
	 * @param pool the pool of the stage
	 * @param group the pieces
	 * @param done accepts the result once, possibly before this method returns; not
	 * called after a cancellation
	 * @return cancels the group when run; without effect once the result was reported
	 */
	Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done);

	/**
	 * Releases results. Failures are not reported: results that are not released expire.
	 * @param pool the pool whose endpoints keep the results
	 * @param handles the results
	 */
	void free(PoolId pool, List<ResultHandle> handles);

	/**
	 * Offers results that have been read and are needed again only if their reader fails.
	 * They are released where memory for results is short, and stay otherwise until
	 * {@link #free}.
	 * @param pool the pool whose endpoints keep the results
	 * @param handles the results
	 */
	void offer(PoolId pool, List<ResultHandle> handles);

	/**
	 * Returns the expected wait of a new piece at a pool.
	 * @param pool the pool
	 * @param urgency the urgency of the piece
	 * @return the latest estimate; no wait if there is none
	 */
	ExpectedWait expectedWait(PoolId pool, PieceUrgency urgency);

}
