package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Groups the waiting pieces of one stage pool into batches, each sent in one call.
 *
 * <p>
 * A call has a large fixed cost whatever the number of its pieces, so one call per
 * request would overload the pool under high load. Therefore the pieces of all requests
 * wait in one queue while the endpoints are busy, and a free endpoint gets as many as fit
 * into a call. A free endpoint is never kept idle to wait for more pieces. An endpoint
 * first gets the pieces whose results are read in its own availability zone, since
 * results are large; it gets others only if their zone cannot take them with its next
 * calls, if they would be late by waiting for it, or if the queue is long. Pieces whose
 * requests can still meet their target time come before others, and among them those with
 * a higher priority and with less slack. Not thread-safe. For example:
 *
 * <pre class="code">
 * planner.add(ticket);
 * Optional&lt;PieceBatch&gt; batch = planner.next(now);
 * planner.onBatchEnded(batch.get(), outcome, duration, now);
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class BatchPlanner {

	private static final Duration NO_ENDPOINT_WAIT = Duration.ofSeconds(60);

	/**
	 * The number of full calls waiting beyond which the zones of pieces are ignored,
	 * because a call that is not full costs more than a transfer between zones.
	 */
	private static final int CROWDED_CALLS = 2;

	private final BatchCapacity capacity;

	private final Throughput throughput = new Throughput();

	private final PieceQueue waiting = new PieceQueue();

	private final Map<EndpointId, StageEndpointLoad> endpoints = new LinkedHashMap<>();

	/**
	 * Creates a planner without endpoints.
	 * @param capacity the capacity of each endpoint
	 */
	public BatchPlanner(BatchCapacity capacity) {
		this.capacity = capacity;
	}

	/**
	 * Replaces the set of usable endpoints. Other endpoints get no new calls and are
	 * removed when their calls in flight have ended.
	 * @param usable the usable endpoints with their availability zones
	 */
	public void updateEndpoints(Map<EndpointId, AvailabilityZoneId> usable) {
		this.endpoints.forEach((id, load) -> load.updateUsable(usable.containsKey(id)));
		usable.forEach((id, zone) -> this.endpoints.computeIfAbsent(id,
				(ignored) -> new StageEndpointLoad(this.capacity, zone)));
		this.endpoints.values().removeIf(StageEndpointLoad::removable);
	}

	/**
	 * Sets until when an endpoint gets no calls, as it asked for. What it keeps stays
	 * accounted for.
	 * @param endpoint the endpoint; ignored if it is not usable
	 * @param until the elapsed time at which it returns
	 */
	public void stayAway(EndpointId endpoint, Duration until) {
		StageEndpointLoad load = this.endpoints.get(endpoint);
		if (load != null) {
			load.stayAway(until);
		}
	}

	/**
	 * Adds a piece to the queue.
	 * @param ticket the piece; it replaces a waiting piece with the same id
	 */
	public void add(PieceTicket ticket) {
		this.waiting.add(ticket);
	}

	/**
	 * Removes a piece from the queue.
	 * @param id the id of the piece
	 * @return whether it was still waiting
	 */
	public boolean remove(PieceId id) {
		return this.waiting.remove(id);
	}

	/**
	 * Removes the waiting pieces that cannot be completed before their deadlines.
	 * @param now the elapsed time
	 * @return the removed pieces
	 */
	public List<PieceTicket> dropUnreachable(Duration now) {
		Duration earliestEnd = now.plus(timeUntilReturn(now)).plus(this.capacity.expectedTime(1));
		return this.waiting.removeDue(earliestEnd);
	}

	/**
	 * Removes all waiting pieces, since no endpoint will be usable for them.
	 * @return the removed pieces
	 */
	public List<PieceTicket> dropAll() {
		return this.waiting.removeAll();
	}

	/**
	 * Assembles the next batch if an endpoint is free. To be called until it returns
	 * nothing. Each batch must be followed by one {@link #onBatchEnded}; the memory for
	 * the results of its pieces stays reserved until {@link #onResultsFreed}.
	 * @param now the elapsed time
	 * @return the batch, whose call counts as started; empty if no piece can be placed
	 * now
	 */
	public Optional<PieceBatch> next(Duration now) {
		return next(now, (endpoint) -> true, (ticket) -> true);
	}

	/**
	 * Assembles the next batch, as {@link #next(Duration)} does.
	 * @param now the elapsed time
	 * @param withinLimit whether an endpoint may get a further call now
	 * @param sendable whether a piece may be sent now; the others keep waiting
	 * @return the batch; empty if no piece can be placed now
	 */
	public Optional<PieceBatch> next(Duration now, Predicate<EndpointId> withinLimit, Predicate<PieceTicket> sendable) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		List<Map.Entry<EndpointId, StageEndpointLoad>> free = this.endpoints.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().available(now)
					&& entry.getValue().freeResultBytes() >= this.waiting.smallestResult())
			.filter((entry) -> withinLimit.test(entry.getKey()))
			.sorted(Comparator.comparing((entry) -> entry.getValue().slowness()))
			.toList();
		return free.stream()
			.flatMap((entry) -> fill(entry.getKey(), entry.getValue(), sendable, now).stream())
			.findFirst();
	}

	/**
	 * Updates the load of the endpoint when the call of a batch ends.
	 * @param batch the batch
	 * @param outcome the outcome of its call
	 * @param duration the duration of its call
	 * @param now the elapsed time
	 */
	public void onBatchEnded(PieceBatch batch, BatchOutcome outcome, Duration duration, Duration now) {
		StageEndpointLoad load = this.endpoints.get(batch.endpoint());
		if (load != null) {
			load.onCallEnded(outcome, duration, this.capacity.expectedTime(batch.pieces().size()), now);
		}
	}

	/**
	 * Ends the pauses of all endpoints after failed calls, since the failures were not
	 * theirs.
	 */
	public void forgiveFailures() {
		this.endpoints.values().forEach(StageEndpointLoad::forgiveFailures);
	}

	/**
	 * Updates the memory for results at an endpoint when results were freed or were not
	 * produced.
	 * @param endpoint the endpoint that held the results or was to produce them
	 * @param bytes the size that was reserved for them
	 */
	public void onResultsFreed(EndpointId endpoint, long bytes) {
		StageEndpointLoad load = this.endpoints.get(endpoint);
		if (load != null) {
			load.onResultsFreed(bytes);
		}
	}

	/**
	 * Returns whether an endpoint lacks memory for the results of one more full call with
	 * pieces like those of its last one.
	 * @param endpoint the endpoint
	 * @return whether results that may be released should be
	 */
	public boolean isShortOfRoom(EndpointId endpoint) {
		StageEndpointLoad load = this.endpoints.get(endpoint);
		return load != null && load.freeResultBytes() < load.bytesOfFullCall();
	}

	/**
	 * Returns the estimated time for which a new piece would wait if it were sent after
	 * all others.
	 * @param now the elapsed time
	 * @return the estimate, as {@link #expectedWait(PieceUrgency, Duration)} returns it
	 */
	public Duration expectedWait(Duration now) {
		return timeToStart(this.waiting.size(), now);
	}

	/**
	 * Returns the estimated time for which a new piece would wait until its call starts.
	 * @param piece the urgency of the piece
	 * @param now the elapsed time
	 * @return the estimate; if all usable endpoints stay away, the time until the first
	 * one returns; one minute if no endpoint is usable
	 */
	public Duration expectedWait(PieceUrgency piece, Duration now) {
		return timeToStart(this.waiting.ahead(piece, now), now);
	}

	private Duration timeToStart(int ahead, Duration now) {
		List<StageEndpointLoad> usable = this.endpoints.values().stream().filter(StageEndpointLoad::usable).toList();
		if (usable.isEmpty()) {
			return NO_ENDPOINT_WAIT;
		}
		List<StageEndpointLoad> working = usable.stream().filter((load) -> load.working(now)).toList();
		if (working.isEmpty()) {
			return timeUntilReturn(now);
		}
		boolean free = usable.stream().anyMatch((load) -> load.available(now));
		if (free && ahead < this.capacity.maximumPieces()) {
			return Duration.ZERO;
		}
		double calls = ahead / (double) this.capacity.maximumPieces();
		Duration call = this.capacity.expectedTime(this.capacity.maximumPieces());
		// Half a call is added for the calls in flight if no endpoint is free.
		double callsAhead = calls / working.size() + (free ? 0 : 0.5 / working.size());
		Duration planned = Duration.ofNanos((long) (call.toNanos() * callsAhead));
		Duration observed = this.throughput.timeFor(ahead, now);
		return (observed.compareTo(planned) > 0) ? observed : planned;
	}

	/**
	 * Returns the length of the queue.
	 * @return the number of pieces
	 */
	public int waiting() {
		return this.waiting.size();
	}

	private Optional<PieceBatch> fill(EndpointId endpoint, StageEndpointLoad load, Predicate<PieceTicket> sendable,
			Duration now) {
		List<PieceTicket> chosen = new ArrayList<>();
		long freeBytes = load.freeResultBytes();
		Iterator<PieceTicket> candidates = candidatesFor(load.zone(), now);
		while (candidates.hasNext() && chosen.size() < this.capacity.maximumPieces()
				&& freeBytes >= this.waiting.smallestResult()) {
			PieceTicket ticket = candidates.next();
			boolean mayJoin = chosen.isEmpty() || chosen.get(0).mayShareCallWith(ticket);
			if (mayJoin && ticket.resultBytes() <= freeBytes && sendable.test(ticket)) {
				chosen.add(ticket);
				freeBytes -= ticket.resultBytes();
			}
		}
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		int waitingBefore = this.waiting.size();
		chosen.forEach((ticket) -> this.waiting.remove(ticket.id()));
		load.onCallStarted(load.freeResultBytes() - freeBytes, chosen.size(), now);
		this.throughput.recordStart(chosen.size(), !this.waiting.isEmpty(), now);
		return Optional.of(new PieceBatch(endpoint, List.copyOf(chosen), chosen.size() + " of " + waitingBefore
				+ " waiting pieces, free result memory " + load.freeResultBytes() + " bytes"));
	}

	/**
	 * Returns the pieces that an endpoint may get: those that are read in its own
	 * availability zone or anywhere, then those that may leave their home zone. These are
	 * the pieces for which the next calls of their zone have no place, or that would be
	 * late by waiting for their zone, and all if the queue is long.
	 * @param zone the availability zone of the endpoint
	 * @param now the elapsed time
	 * @return the pieces in order
	 */
	private Iterator<PieceTicket> candidatesFor(AvailabilityZoneId zone, Duration now) {
		Predicate<Optional<AvailabilityZoneId>> own = (home) -> home.map(zone::equals).orElse(true);
		Iterator<PieceTicket> others = (this.waiting.size() > CROWDED_CALLS * this.capacity.maximumPieces())
				? this.waiting.inOrder(own.negate(), now) : leavingHome(own.negate(), now).iterator();
		Iterator<PieceTicket> first = this.waiting.inOrder(own, now);
		return new Iterator<>() {

			@Override
			public boolean hasNext() {
				return first.hasNext() || others.hasNext();
			}

			@Override
			public PieceTicket next() {
				return first.hasNext() ? first.next() : others.next();
			}

		};
	}

	private List<PieceTicket> leavingHome(Predicate<Optional<AvailabilityZoneId>> homes, Duration now) {
		Map<AvailabilityZoneId, Integer> nextCalls = capacityOfNextCalls(now);
		Map<AvailabilityZoneId, Duration> timesUntilFree = timesUntilFree(now);
		List<PieceTicket> leaving = new ArrayList<>();
		this.waiting.inOrder(homes, now).forEachRemaining((ticket) -> {
			int remaining = nextCalls.merge(ticket.home().orElseThrow(), -1, Integer::sum);
			if (remaining < 0 || !canWait(ticket, timesUntilFree, now)) {
				leaving.add(ticket);
			}
		});
		return leaving;
	}

	private static boolean canWait(PieceTicket ticket, Map<AvailabilityZoneId, Duration> timesUntilFree, Duration now) {
		Duration timeUntilFree = ticket.home().map(timesUntilFree::get).orElse(null);
		return timeUntilFree != null && ticket.latestStart().compareTo(now.plus(timeUntilFree)) >= 0;
	}

	/**
	 * Returns the time until the first endpoint of each zone is free.
	 * @param now the elapsed time
	 * @return the shortest time in each zone; zones without a usable endpoint are absent
	 */
	private Map<AvailabilityZoneId, Duration> timesUntilFree(Duration now) {
		Map<AvailabilityZoneId, Duration> timesUntilFree = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(StageEndpointLoad::usable)
			.forEach((load) -> timesUntilFree.merge(load.zone(), load.timeUntilFree(now),
					(one, other) -> (one.compareTo(other) < 0) ? one : other));
		return timesUntilFree;
	}

	/**
	 * Returns the time until the first endpoint returns.
	 * @param now the elapsed time
	 * @return the time; zero if not all usable endpoints stay away
	 */
	private Duration timeUntilReturn(Duration now) {
		return this.endpoints.values()
			.stream()
			.filter(StageEndpointLoad::usable)
			.map((load) -> load.working(now) ? Duration.ZERO : load.awayUntil().minus(now))
			.min(Duration::compareTo)
			.orElse(Duration.ZERO);
	}

	private Map<AvailabilityZoneId, Integer> capacityOfNextCalls(Duration now) {
		Map<AvailabilityZoneId, Integer> pieces = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter((load) -> load.working(now))
			.forEach((load) -> pieces.merge(load.zone(), this.capacity.maximumPieces(), Integer::sum));
		return pieces;
	}

}
