package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.stage.PieceId;
import io.wagtailmux.decision.stage.PieceTicket;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.port.PieceOrder;
import io.wagtailmux.engine.port.PieceOutcome;

/**
 * State of a group of pieces that this instance executes as the owner of their pool.
 *
 * @author the wagtailmux developers
 */
final class OwnedGroup {

	/**
	 * Number of times that a piece is sent before an error of its endpoint is final.
	 * Pieces that an endpoint did not execute are sent again regardless.
	 */
	private static final int MAXIMUM_TRIES = 3;

	private final PieceGroup group;

	private final long submission;

	private final Duration submittedAt;

	private final Consumer<PieceGroupResult> done;

	private final Map<Integer, PieceOutcome> outcomes = new HashMap<>();

	private final Map<Integer, Integer> tries = new HashMap<>();

	private final Set<Integer> sent = new HashSet<>();

	private boolean cancelled;

	/**
	 * Creates the state of a group of which no piece was sent.
	 * @param group the group
	 * @param submission its number, different from those of all other groups of the owner
	 * @param submittedAt the elapsed time of its submission
	 * @param done accepts the result once
	 */
	OwnedGroup(PieceGroup group, long submission, Duration submittedAt, Consumer<PieceGroupResult> done) {
		this.group = group;
		this.submission = submission;
		this.submittedAt = submittedAt;
		this.done = done;
	}

	PieceGroup group() {
		return this.group;
	}

	/**
	 * Returns a piece for the queue.
	 * @param piece the index of the piece
	 * @param isolated whether the request may crash endpoints
	 * @return the piece
	 */
	PieceTicket ticket(int piece, boolean isolated) {
		return new PieceTicket(id(piece), this.group.priority(), this.submittedAt.plus(this.group.slack()),
				this.submittedAt.plus(this.group.remaining()), this.group.resultBytes(), this.group.home(), isolated);
	}

	PieceId id(int piece) {
		return new PieceId(this.group.attempt(), this.group.stage(), piece, this.submission);
	}

	/**
	 * Returns the order that is sent to an endpoint for a piece, and counts one more try
	 * of the piece.
	 * @param id the id of the piece
	 * @param now the elapsed time
	 * @return the order
	 */
	PieceOrder order(PieceId id, Duration now) {
		this.tries.merge(id.piece(), 1, Integer::sum);
		Duration remaining = this.submittedAt.plus(this.group.remaining()).minus(now);
		return new PieceOrder(id, remaining, this.group.key(), this.group.inputs());
	}

	/**
	 * Records that a piece was sent to a free endpoint, which reads the inputs at once.
	 * @param piece the index of the piece
	 * @return whether this was the last piece that had not been sent
	 */
	boolean markSent(int piece) {
		boolean allSentBefore = this.sent.size() == this.group.pieces().size();
		this.sent.add(piece);
		return !allSentBefore && this.sent.size() == this.group.pieces().size();
	}

	/**
	 * Records that a piece is to be sent again.
	 * @param piece the index of the piece
	 */
	void markUnsent(int piece) {
		this.sent.remove(piece);
	}

	/**
	 * Returns whether no piece of the group is waiting to be sent.
	 * @return whether all pieces are at endpoints or have an outcome
	 */
	boolean allSent() {
		return this.sent.size() == this.group.pieces().size();
	}

	boolean mayRetry(int piece) {
		return !this.cancelled && this.tries.getOrDefault(piece, 0) < MAXIMUM_TRIES;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
	}

	/**
	 * Records the final outcome of a piece, and reports the result of the group once all
	 * pieces have one. The first failure is reported at once and cancels the group, since
	 * its request needs all pieces; nothing is reported after that.
	 * @param piece the index of the piece
	 * @param outcome the outcome of the piece
	 * @param wait returns the wait of new pieces at the pool
	 */
	void recordOutcome(int piece, PieceOutcome outcome, Function<PieceUrgency, WaitReport> wait) {
		this.outcomes.put(piece, outcome);
		boolean failed = outcome.failure().isPresent();
		if (this.cancelled || (!failed && this.outcomes.size() < this.group.pieces().size())) {
			return;
		}
		this.cancelled = failed;
		this.done.accept(new PieceGroupResult(this.outcomes, wait.apply(this.group.urgency())));
	}

}
