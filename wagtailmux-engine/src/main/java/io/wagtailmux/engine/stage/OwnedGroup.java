package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.wagtailmux.decision.stage.PieceId;
import io.wagtailmux.decision.stage.PieceTicket;
import io.wagtailmux.engine.port.PieceOrder;
import io.wagtailmux.engine.port.PieceOutcome;

/**
 * A group of pieces that this instance has made as the owner of their pool.
 *
 * @author the wagtailmux developers
 */
final class OwnedGroup {

	private static final int MAXIMUM_TRIES = 3;

	private final PieceGroup group;

	private final Duration submitted;

	private final Consumer<PieceGroupResult> done;

	private final Map<Integer, PieceOutcome> outcomes = new HashMap<>();

	private final Map<Integer, Integer> tries = new HashMap<>();

	private final Set<Integer> sent = new HashSet<>();

	private boolean cancelled;

	OwnedGroup(PieceGroup group, Duration submitted, Consumer<PieceGroupResult> done) {
		this.group = group;
		this.submitted = submitted;
		this.done = done;
	}

	PieceGroup group() {
		return this.group;
	}

	PieceTicket ticket(int piece) {
		return new PieceTicket(new PieceId(this.group.attempt(), this.group.stage(), piece), this.group.priority(),
				this.submitted.plus(this.group.slack()), this.submitted.plus(this.group.remaining()),
				this.group.resultBytes(), this.group.home());
	}

	PieceOrder order(PieceId id, Duration now) {
		this.tries.merge(id.piece(), 1, Integer::sum);
		Duration left = this.submitted.plus(this.group.remaining()).minus(now);
		return new PieceOrder(id, left, this.group.key(), this.group.inputs());
	}

	/**
	 * Takes note that a piece was sent to an endpoint that is free.
	 * @param piece the index of the piece
	 * @return whether all pieces are sent now, for the first time
	 */
	boolean sent(int piece) {
		boolean before = this.sent.size() == this.group.pieces().size();
		this.sent.add(piece);
		return !before && this.sent.size() == this.group.pieces().size();
	}

	/**
	 * Takes note that a piece has to be sent once more.
	 * @param piece the index of the piece
	 */
	void unsent(int piece) {
		this.sent.remove(piece);
	}

	/**
	 * Tells whether no piece is waiting.
	 * @return whether all pieces are at endpoints or made
	 */
	boolean allSent() {
		return this.sent.size() == this.group.pieces().size();
	}

	boolean mayTryAgain(int piece) {
		return !this.cancelled && this.tries.getOrDefault(piece, 0) < MAXIMUM_TRIES;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
	}

	/**
	 * Takes the outcome of a piece. The first failure ends the group: its request has no
	 * use for the other pieces.
	 * @param piece the index of the piece
	 * @param outcome what became of it
	 * @param expectedWait how long a further piece would wait at the pool
	 */
	void settle(int piece, PieceOutcome outcome, Duration expectedWait) {
		this.outcomes.put(piece, outcome);
		boolean failed = outcome.failure().isPresent();
		if (this.cancelled || (!failed && this.outcomes.size() < this.group.pieces().size())) {
			return;
		}
		this.cancelled = failed;
		this.done.accept(new PieceGroupResult(this.outcomes, expectedWait));
	}

}
