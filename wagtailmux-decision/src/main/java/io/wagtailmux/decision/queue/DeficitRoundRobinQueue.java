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
 * Fair queue with one flow per organisation. Flows are served by deficit round robin: the
 * quantum of a flow is proportional to its organisation's weight, and a ticket costs its
 * expected service time. Within a flow the ticket with the earliest deadline is served
 * first.
 *
 * <p>
 * With {@code sparseFirst}, a flow that becomes active is served for one quantum before
 * the flows in the rotation. It then joins the rotation even if it is empty by then,
 * which bounds the capacity that many sparse organisations can take from the others
 * (Grigorescu et al., 2015). Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class DeficitRoundRobinQueue implements WaitingQueue {

	private static final double QUANTUM_NANOS = Duration.ofMillis(100).toNanos();

	private static final Comparator<Entry> EARLIEST_DEADLINE = Comparator
		.comparing((Entry entry) -> entry.ticket.latestEnd())
		.thenComparingLong(Entry::order);

	private final Map<OrganisationId, Flow> flows = new HashMap<>();

	private final Map<OrganisationId, Integer> expectedByOrganisation = new HashMap<>();

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
		Flow flow = this.flows.computeIfAbsent(organisation, (id) -> activate(new Flow(id)));
		flow.quantumNanos = QUANTUM_NANOS * ticket.organisation().weight();
		Entry entry = new Entry(ticket, cost.toNanos(), this.order++);
		flow.waiting.add(entry);
		this.entries.put(ticket, entry);
	}

	@Override
	public Optional<Ticket> poll(Predicate<Ticket> assignable) {
		Optional<Ticket> first = pollFrom(this.sparse, assignable);
		return first.isPresent() ? first : pollFrom(this.rotation, assignable);
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
		this.expectedByOrganisation.merge(organisation, 1, Integer::sum);
	}

	@Override
	public void removeExpected(OrganisationId organisation) {
		this.expectedByOrganisation.computeIfPresent(organisation, (id, count) -> (count > 1) ? count - 1 : null);
	}

	// With equal weights and costs, round robin serves at most one ticket more of another
	// organisation than of this one.
	@Override
	public int ticketsAhead(OrganisationId organisation) {
		int own = expectedTickets(organisation);
		Set<OrganisationId> all = new HashSet<>(this.flows.keySet());
		all.addAll(this.expectedByOrganisation.keySet());
		int ahead = own;
		for (OrganisationId other : all) {
			if (!other.equals(organisation)) {
				ahead += Math.min(expectedTickets(other), own + 1);
			}
		}
		return ahead;
	}

	private int expectedTickets(OrganisationId organisation) {
		Flow flow = this.flows.get(organisation);
		int waiting = (flow != null) ? flow.waiting.size() : 0;
		return waiting + this.expectedByOrganisation.getOrDefault(organisation, 0);
	}

	private Flow activate(Flow flow) {
		Deque<Flow> list = this.sparseFirst ? this.sparse : this.rotation;
		list.addLast(flow);
		return flow;
	}

	private Optional<Ticket> pollFrom(Deque<Flow> list, Predicate<Ticket> assignable) {
		int visitsWithoutCandidate = 0;
		while (!list.isEmpty() && visitsWithoutCandidate < list.size()) {
			Flow flow = list.peekFirst();
			Optional<Entry> candidate = flow.firstAssignable(assignable);
			if (candidate.isEmpty()) {
				boolean rotated = removeOrRotate(list, flow);
				visitsWithoutCandidate += rotated ? 1 : 0;
			}
			else if (flow.deficitNanos <= 0) {
				flow.deficitNanos += flow.quantumNanos;
				moveToRotation(list);
				visitsWithoutCandidate = 0;
			}
			else {
				return Optional.of(dequeue(flow, candidate.get()));
			}
		}
		return Optional.empty();
	}

	private boolean removeOrRotate(Deque<Flow> list, Flow flow) {
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

	private Ticket dequeue(Flow flow, Entry entry) {
		flow.waiting.remove(entry);
		flow.deficitNanos -= entry.costNanos;
		this.entries.remove(entry.ticket);
		return entry.ticket;
	}

	private record Entry(Ticket ticket, double costNanos, long order) {

	}

	/**
	 * Queue and deficit counter of one organisation.
	 */
	private static final class Flow {

		private final OrganisationId organisation;

		private final TreeSet<Entry> waiting = new TreeSet<>(EARLIEST_DEADLINE);

		private double quantumNanos = QUANTUM_NANOS;

		private double deficitNanos = QUANTUM_NANOS;

		Flow(OrganisationId organisation) {
			this.organisation = organisation;
		}

		Optional<Entry> firstAssignable(Predicate<Ticket> assignable) {
			return this.waiting.stream().filter((entry) -> assignable.test(entry.ticket)).findFirst();
		}

	}

}
