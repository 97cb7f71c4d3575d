package io.wagtailmux.engine.stage;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.wagtailmux.decision.poison.PoisonVerdict;
import io.wagtailmux.decision.stage.PieceBatch;
import io.wagtailmux.decision.stage.PieceId;
import io.wagtailmux.decision.stage.PieceTicket;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.TimeSource;

/**
 * Requests whose pieces may crash the endpoints of one shard, as its owner sees them.
 * Used on the traffic thread only.
 *
 * <p>
 * No further piece of a request is sent while it is at an endpoint although it was at one
 * that ended before, or while it is being checked whether an endpoint ended under it. So
 * several attempts at such a request do not end several endpoints.
 *
 * @author the wagtailmux developers
 */
final class PieceSuspects {

	private final PoolTraffic traffic;

	private final TimeSource time;

	private final Map<PieceId, OwnedGroup> groups;

	private final Map<PieceBatch, Set<String>> held = new IdentityHashMap<>();

	/**
	 * Creates the suspects of a shard.
	 * @param traffic the traffic to the pool
	 * @param time the clock
	 * @param groups the group of each piece that waits or is at an endpoint; follows
	 * later changes
	 */
	PieceSuspects(PoolTraffic traffic, TimeSource time, Map<PieceId, OwnedGroup> groups) {
		this.traffic = traffic;
		this.time = time;
		this.groups = groups;
	}

	/**
	 * Returns the requests of pieces.
	 * @param pieces the pieces
	 * @return the identities of their requests
	 */
	Set<String> of(List<PieceTicket> pieces) {
		return pieces.stream()
			.map((ticket) -> this.groups.get(ticket.id()))
			.filter(Objects::nonNull)
			.flatMap((owned) -> owned.group().suspect().stream())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether a request has crashed endpoints, as far as is known.
	 * @param owned a group of pieces of the request
	 * @return whether no further piece of it may be sent
	 */
	boolean isHarmful(OwnedGroup owned) {
		return owned.group()
			.suspect()
			.filter((suspect) -> this.traffic.poisonVerdict(List.of(suspect),
					this.time.elapsed()) != PoisonVerdict.ALLOWED)
			.isPresent();
	}

	/**
	 * Returns whether one more end would show that a request crashes endpoints.
	 * @param owned a group of pieces of the request
	 * @return whether its pieces are to be sent without those of others
	 */
	boolean mayCrashEndpoints(OwnedGroup owned) {
		return owned.group().suspect().filter(this.traffic.poison()::nearlySufficient).isPresent();
	}

	/**
	 * Returns whether a waiting piece may be sent now.
	 * @param ticket the piece
	 * @return false if its request is held
	 */
	boolean maySend(PieceTicket ticket) {
		if (this.held.isEmpty()) {
			return true;
		}
		Set<String> suspects = of(List.of(ticket));
		return this.held.values().stream().noneMatch((each) -> suspects.stream().anyMatch(each::contains));
	}

	/**
	 * Holds the requests of a batch that were at an endpoint that ended before.
	 * @param batch the batch, which is being sent
	 */
	void onSent(PieceBatch batch) {
		Set<String> endedBefore = of(batch.pieces()).stream()
			.filter(this.traffic.poison()::hasEnds)
			.collect(Collectors.toUnmodifiableSet());
		if (!endedBefore.isEmpty()) {
			this.held.put(batch, endedBefore);
		}
	}

	/**
	 * Records which requests did not crash the endpoint, since it returned results for
	 * them.
	 * @param call the call, which was answered or not sent
	 * @param outcomes the outcomes of its pieces
	 */
	void onAnswered(BatchCall call, List<PieceOutcome> outcomes) {
		this.held.remove(call.batch());
		List<PieceTicket> harmless = IntStream.range(0, outcomes.size())
			.filter((index) -> outcomes.get(index).handle().isPresent())
			.mapToObj(call.batch().pieces()::get)
			.toList();
		if (!harmless.isEmpty()) {
			this.traffic.poison().recordSuccess(of(harmless), call.startedAt(), this.time.elapsed());
		}
	}

	/**
	 * Holds the requests of a call that broke off, if the check of its endpoint is to be
	 * awaited: its connection broke, so that the check takes a moment only, or one of the
	 * requests was at an endpoint that ended before.
	 * @param call the call
	 * @return whether its pieces are to be sent again only after the check
	 */
	boolean holdUntilChecked(BatchCall call) {
		Set<String> suspects = of(call.batch().pieces());
		this.held.remove(call.batch());
		boolean waits = call.brokenOff().filter(CallFailure.BROKEN::equals).isPresent()
				|| suspects.stream().anyMatch(this.traffic.poison()::hasEnds);
		if (waits) {
			this.held.put(call.batch(), suspects);
		}
		return waits;
	}

	/**
	 * Ends the hold of a batch whose endpoint has been checked.
	 * @param batch the batch
	 */
	void onChecked(PieceBatch batch) {
		this.held.remove(batch);
	}

}
