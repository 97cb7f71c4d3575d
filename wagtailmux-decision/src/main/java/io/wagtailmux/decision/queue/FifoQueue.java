package io.wagtailmux.decision.queue;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.wagtailmux.decision.Ticket;
import io.wagtailmux.model.OrganisationId;

/**
 * First-in-first-out queue over all organisations. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class FifoQueue implements WaitingQueue {

	private final Set<Ticket> tickets = new LinkedHashSet<>();

	private int expected;

	@Override
	public void add(Ticket ticket, Duration cost) {
		this.tickets.add(ticket);
	}

	@Override
	public Optional<Ticket> poll(Predicate<Ticket> assignable) {
		Iterator<Ticket> iterator = this.tickets.iterator();
		while (iterator.hasNext()) {
			Ticket ticket = iterator.next();
			if (assignable.test(ticket)) {
				iterator.remove();
				return Optional.of(ticket);
			}
		}
		return Optional.empty();
	}

	@Override
	public boolean remove(Ticket ticket) {
		return this.tickets.remove(ticket);
	}

	@Override
	public int size() {
		return this.tickets.size();
	}

	@Override
	public void addExpected(OrganisationId organisation) {
		this.expected++;
	}

	@Override
	public void removeExpected(OrganisationId organisation) {
		this.expected--;
	}

	@Override
	public int ticketsAhead(OrganisationId organisation) {
		return this.tickets.size() + this.expected;
	}

}
