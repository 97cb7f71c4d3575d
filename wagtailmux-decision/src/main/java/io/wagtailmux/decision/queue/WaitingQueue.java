package io.wagtailmux.decision.queue;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

import io.wagtailmux.decision.Ticket;
import io.wagtailmux.model.OrganisationId;

/**
 * Tickets that wait for one pool.
 *
 * @author the wagtailmux developers
 */
public interface WaitingQueue {

	/**
	 * Adds a ticket.
	 * @param ticket the ticket
	 * @param cost its expected service time
	 */
	void add(Ticket ticket, Duration cost);

	/**
	 * Removes the next ticket that can be placed.
	 * @param placeable tells whether a free endpoint may take a ticket
	 * @return the ticket, or nothing if none can be placed
	 */
	Optional<Ticket> poll(Predicate<Ticket> placeable);

	/**
	 * Removes a ticket wherever it stands.
	 * @param ticket the ticket
	 * @return whether it was waiting
	 */
	boolean remove(Ticket ticket);

	/**
	 * Returns how many tickets wait.
	 * @return the number of tickets
	 */
	int size();

	/**
	 * Takes note of a request that was let in and will come to this pool after earlier
	 * stages.
	 * @param organisation whose request it is
	 */
	void addExpected(OrganisationId organisation);

	/**
	 * Takes note that an announced request has come, or will not come.
	 * @param organisation whose request it is
	 */
	void removeExpected(OrganisationId organisation);

	/**
	 * Returns how many tickets, announced ones included, are expected to leave before a
	 * new one of an organisation.
	 * @param organisation the organisation
	 * @return the number of tickets ahead
	 */
	int ticketsAhead(OrganisationId organisation);

}
