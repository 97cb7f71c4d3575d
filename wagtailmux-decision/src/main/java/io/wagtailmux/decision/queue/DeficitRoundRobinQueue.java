package io.wagtailmux.decision.queue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import io.wagtailmux.decision.Ticket;
import io.wagtailmux.model.OrganisationId;

/**
 * One queue per organisation, served by deficit round robin weighted by expected cost;
 * inside an organisation the earliest deadline goes first.
 *
 * <p>
 * With {@code sparseFirst}, an organisation whose queue was empty gets one quantum before
 * the others. It joins the rotation after that quantum even if its queue is empty by
 * then, which bounds what many sparse organisations can take from the rest (Grigorescu et
 * al., 2015).
 *
 * @author the wagtailmux developers
 */
final class DeficitRoundRobinQueue implements WaitingQueue {

	private static final double QUANTUM_NANOS = Duration.ofMillis(100).toNanos();

	private static final Comparator<Entry> EARLIEST_DEADLINE = Comparator
		.comparing((Entry entry) -> entry.ticket.latestEnd())
		.thenComparingLong(Entry::order);

	private final Map<OrganisationId, Flow> flows = new HashMap<>();

	private final Map<OrganisationId, Integer> announced = new HashMap<>();

	private final Deque<Flow> sparse = new ArrayDeque<>();

	private final Deque<Flow> rotation = new ArrayDeque<>();

	private final Map<Ticket, Entry> entries = new HashMap<>();

	private final boolean sparseFirst;

	private long order;

	DeficitRoundRobinQueue(boolean sparseFirst) {
		this.sparseFirst = sparseFirst;
	}

	@Override
	public void add(Ticket ticket, Duration cost) {
		OrganisationId organisation = ticket.organisation().id();
		Flow flow = this.flows.computeIfAbsent(organisation, (id) -> activated(new Flow(id)));
		flow.quantumNanos = QUANTUM_NANOS * ticket.organisation().weight();
		Entry entry = new Entry(ticket, cost.toNanos(), this.order++);
		flow.waiting.add(entry);
		this.entries.put(ticket, entry);
	}

	@Override
	public Optional<Ticket> poll(Predicate<Ticket> placeable) {
		Optional<Ticket> first = pollFrom(this.sparse, placeable);
		return first.isPresent() ? first : pollFrom(this.rotation, placeable);
	}

	@Override
	public boolean remove(Ticket ticket) {
		Entry entry = this.entries.remove(ticket);
		return entry != null && this.flows.get(ticket.organisation().id()).waiting.remove(entry);
	}

	@Override
	public int size() {
		return this.entries.size();
	}

	@Override
	public void addExpected(OrganisationId organisation) {
		this.announced.merge(organisation, 1, Integer::sum);
	}

	@Override
	public void removeExpected(OrganisationId organisation) {
		this.announced.computeIfPresent(organisation, (id, count) -> (count > 1) ? count - 1 : null);
	}

	// A round robin serves at most one more of another organisation than of this one.
	@Override
	public int ticketsAhead(OrganisationId organisation) {
		int own = expected(organisation);
		Set<OrganisationId> all = new HashSet<>(this.flows.keySet());
		all.addAll(this.announced.keySet());
		int ahead = own;
		for (OrganisationId other : all) {
			if (!other.equals(organisation)) {
				ahead += Math.min(expected(other), own + 1);
			}
		}
		return ahead;
	}

	private int expected(OrganisationId organisation) {
		Flow flow = this.flows.get(organisation);
		int waiting = (flow != null) ? flow.waiting.size() : 0;
		return waiting + this.announced.getOrDefault(organisation, 0);
	}

	private Flow activated(Flow flow) {
		Deque<Flow> list = this.sparseFirst ? this.sparse : this.rotation;
		list.addLast(flow);
		return flow;
	}

	private Optional<Ticket> pollFrom(Deque<Flow> list, Predicate<Ticket> placeable) {
		int visitsWithoutCandidate = 0;
		while (!list.isEmpty() && visitsWithoutCandidate < list.size()) {
			Flow flow = list.peekFirst();
			Optional<Entry> candidate = flow.firstPlaceable(placeable);
			if (candidate.isEmpty()) {
				boolean stays = leaveFront(list, flow);
				visitsWithoutCandidate += stays ? 1 : 0;
			}
			else if (flow.deficitNanos <= 0) {
				flow.deficitNanos += flow.quantumNanos;
				moveToRotation(list);
				visitsWithoutCandidate = 0;
			}
			else {
				return Optional.of(take(flow, candidate.get()));
			}
		}
		return Optional.empty();
	}

	private boolean leaveFront(Deque<Flow> list, Flow flow) {
		boolean emptyInRotation = flow.waiting.isEmpty() && list == this.rotation;
		if (emptyInRotation) {
			list.pollFirst();
			this.flows.remove(flow.organisation);
			return false;
		}
		moveToRotation(list);
		return list == this.rotation;
	}

	private void moveToRotation(Deque<Flow> list) {
		this.rotation.addLast(list.pollFirst());
	}

	private Ticket take(Flow flow, Entry entry) {
		flow.waiting.remove(entry);
		flow.deficitNanos -= entry.costNanos;
		this.entries.remove(entry.ticket);
		return entry.ticket;
	}

	private record Entry(Ticket ticket, double costNanos, long order) {

	}

	/**
	 * The tickets of one organisation.
	 */
	private static final class Flow {

		private final OrganisationId organisation;

		private final TreeSet<Entry> waiting = new TreeSet<>(EARLIEST_DEADLINE);

		private double quantumNanos = QUANTUM_NANOS;

		private double deficitNanos = QUANTUM_NANOS;

		Flow(OrganisationId organisation) {
			this.organisation = organisation;
		}

		Optional<Entry> firstPlaceable(Predicate<Ticket> placeable) {
			return this.waiting.stream().filter((entry) -> placeable.test(entry.ticket)).findFirst();
		}

	}

}
