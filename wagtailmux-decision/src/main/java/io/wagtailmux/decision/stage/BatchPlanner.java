package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Puts the waiting pieces of one stage pool together into calls.
 *
 * <p>
 * It answers load at which a call a request would overload the pool: a call has a large
 * fixed time whatever it holds, so pieces of all requests wait together while the
 * endpoints are busy, and a free endpoint takes as many as it bears. It never waits for
 * more pieces on purpose. An endpoint takes the pieces whose results are read in its own
 * availability zone first, and others only if their own zone cannot take them with its
 * next calls, since results are large. Pieces whose requests can still be on time go
 * first, the most urgent and those with the least time to spare before others. It has a
 * single owner:
 *
 * <pre class="code">
 * planner.add(ticket);
 * Optional&lt;PieceBatch&gt; batch = planner.next(now);
 * planner.onBatchEnded(batch.get(), took, now);
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class BatchPlanner {

	/** The time to spare that one rank of priority is worth. */
	private static final Duration PRIORITY_STEP = Duration.ofMillis(150);

	/** With more full calls waiting, a call that is not full costs more than bytes do. */
	private static final int CROWDED_CALLS = 2;

	private final BatchCapacity capacity;

	private final Throughput throughput = new Throughput();

	private final Map<PieceId, PieceTicket> waiting = new LinkedHashMap<>();

	private final Map<EndpointId, StageEndpointLoad> endpoints = new LinkedHashMap<>();

	/**
	 * Creates a planner without endpoints.
	 * @param capacity what each endpoint bears
	 */
	public BatchPlanner(BatchCapacity capacity) {
		this.capacity = capacity;
	}

	/**
	 * Takes the endpoints that may be used. Calls in flight at others still end.
	 * @param usable the endpoints with their availability zones
	 */
	public void updateEndpoints(Map<EndpointId, AvailabilityZoneId> usable) {
		this.endpoints.forEach((id, load) -> load.usable(usable.containsKey(id)));
		usable.forEach((id, zone) -> this.endpoints.computeIfAbsent(id,
				(ignored) -> new StageEndpointLoad(this.capacity, zone)));
		this.endpoints.values().removeIf(StageEndpointLoad::forgettable);
	}

	/**
	 * Lets a piece wait.
	 * @param ticket the piece
	 */
	public void add(PieceTicket ticket) {
		this.waiting.put(ticket.id(), ticket);
	}

	/**
	 * Takes a piece out of the queue.
	 * @param id the piece
	 * @return whether it was still waiting
	 */
	public boolean remove(PieceId id) {
		return this.waiting.remove(id) != null;
	}

	/**
	 * Takes out the pieces that cannot be made before their deadlines.
	 * @param now the elapsed time
	 * @return the pieces
	 */
	public List<PieceTicket> dropUnreachable(Duration now) {
		Duration earliestEnd = now.plus(this.capacity.expectedTime(1));
		List<PieceTicket> dropped = this.waiting.values()
			.stream()
			.filter((ticket) -> ticket.deadline().compareTo(earliestEnd) < 0)
			.toList();
		dropped.forEach((ticket) -> this.waiting.remove(ticket.id()));
		return dropped;
	}

	/**
	 * Puts a call together if an endpoint is free.
	 * @param now the elapsed time
	 * @return the call, which counts as begun; nothing if no piece can be placed now
	 */
	public Optional<PieceBatch> next(Duration now) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		return this.endpoints.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().free(now))
			.sorted(Comparator.comparing((entry) -> entry.getValue().slowness()))
			.flatMap((entry) -> fill(entry.getKey(), entry.getValue(), now).stream())
			.findFirst();
	}

	/**
	 * Takes note of the end of a call.
	 * @param batch the call
	 * @param end how it ended
	 * @param took its time
	 * @param now the elapsed time
	 */
	public void onBatchEnded(PieceBatch batch, BatchOutcome end, Duration took, Duration now) {
		StageEndpointLoad load = this.endpoints.get(batch.endpoint());
		if (load != null) {
			load.ended(end, took, this.capacity.expectedTime(batch.pieces().size()), now);
		}
	}

	/**
	 * Takes note that results take up no room any more: they were freed or not made.
	 * @param endpoint where they lay
	 * @param bytes their size
	 */
	public void onResultsFreed(EndpointId endpoint, long bytes) {
		StageEndpointLoad load = this.endpoints.get(endpoint);
		if (load != null) {
			load.freed(bytes);
		}
	}

	/**
	 * Returns how long a new piece would wait until its call begins.
	 * @param now the elapsed time
	 * @return the estimate; very long if no endpoint is usable
	 */
	public Duration expectedWait(Duration now) {
		List<StageEndpointLoad> usable = this.endpoints.values().stream().filter(StageEndpointLoad::usable).toList();
		if (usable.isEmpty()) {
			return Duration.ofSeconds(60);
		}
		boolean free = usable.stream().anyMatch((load) -> load.free(now));
		if (free && this.waiting.size() < this.capacity.maximumPieces()) {
			return Duration.ZERO;
		}
		double calls = this.waiting.size() / (double) this.capacity.maximumPieces();
		Duration call = this.capacity.expectedTime(this.capacity.maximumPieces());
		double callsAhead = calls / usable.size() + (free ? 0 : 0.5 / usable.size());
		Duration planned = Duration.ofNanos((long) (call.toNanos() * callsAhead));
		Duration observed = this.throughput.timeFor(this.waiting.size(), now);
		return (observed.compareTo(planned) > 0) ? observed : planned;
	}

	/**
	 * Returns how many pieces wait.
	 * @return the number of pieces
	 */
	public int waiting() {
		return this.waiting.size();
	}

	private Optional<PieceBatch> fill(EndpointId endpoint, StageEndpointLoad load, Duration now) {
		List<PieceTicket> chosen = new ArrayList<>();
		long room = load.room();
		for (PieceTicket ticket : inOrder(load.zone(), now)) {
			if (chosen.size() == this.capacity.maximumPieces()) {
				break;
			}
			if (ticket.resultBytes() <= room) {
				chosen.add(ticket);
				room -= ticket.resultBytes();
			}
		}
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		int before = this.waiting.size();
		chosen.forEach((ticket) -> this.waiting.remove(ticket.id()));
		load.started(load.room() - room, chosen.size(), now);
		this.throughput.started(chosen.size(), !this.waiting.isEmpty(), now);
		return Optional.of(new PieceBatch(endpoint, List.copyOf(chosen),
				chosen.size() + " of " + before + " waiting, room " + load.room() + " bytes"));
	}

	/**
	 * Orders the waiting pieces for an endpoint.
	 * @param zone the endpoint's availability zone
	 * @param now the elapsed time
	 * @return the pieces that the endpoint may take
	 */
	private List<PieceTicket> inOrder(AvailabilityZoneId zone, Duration now) {
		List<PieceTicket> order = new ArrayList<>(this.waiting.values());
		order.sort(Comparator.comparing((PieceTicket ticket) -> ticket.latestStart().compareTo(now) < 0)
			.thenComparing(BatchPlanner::urgency));
		Map<AvailabilityZoneId, Integer> nextCalls = piecesOfNextCalls();
		Map<AvailabilityZoneId, Duration> residuals = residuals(now);
		boolean crowded = order.size() > CROWDED_CALLS * this.capacity.maximumPieces();
		List<PieceTicket> own = new ArrayList<>();
		List<PieceTicket> others = new ArrayList<>();
		for (PieceTicket ticket : order) {
			int left = ticket.home().map((home) -> nextCalls.merge(home, -1, Integer::sum)).orElse(0);
			if (ticket.home().map(zone::equals).orElse(true)) {
				own.add(ticket);
			}
			else if (left < 0 || crowded || !canWait(ticket, residuals, now)) {
				others.add(ticket);
			}
		}
		own.addAll(others);
		return own;
	}

	private static boolean canWait(PieceTicket ticket, Map<AvailabilityZoneId, Duration> residuals, Duration now) {
		Duration residual = ticket.home().map(residuals::get).orElse(null);
		return residual != null && ticket.latestStart().compareTo(now.plus(residual)) >= 0;
	}

	/**
	 * Returns how long it takes until an endpoint of each zone is free.
	 * @param now the elapsed time
	 * @return the shortest time of each zone that has a usable endpoint
	 */
	private Map<AvailabilityZoneId, Duration> residuals(Duration now) {
		Map<AvailabilityZoneId, Duration> residuals = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(StageEndpointLoad::usable)
			.forEach((load) -> residuals.merge(load.zone(), load.residual(now),
					(one, other) -> (one.compareTo(other) < 0) ? one : other));
		return residuals;
	}

	private Map<AvailabilityZoneId, Integer> piecesOfNextCalls() {
		Map<AvailabilityZoneId, Integer> pieces = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(StageEndpointLoad::usable)
			.forEach((load) -> pieces.merge(load.zone(), this.capacity.maximumPieces(), Integer::sum));
		return pieces;
	}

	private static Duration urgency(PieceTicket ticket) {
		return ticket.latestStart().plus(PRIORITY_STEP.multipliedBy(ticket.priority()));
	}

}
