package io.wagtailmux.decision.queue;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

import io.wagtailmux.decision.Ticket;
import io.wagtailmux.model.OrganisationId;

/**
 * Queue of the tickets for one pool. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public interface WaitingQueue {

	/**
	 * Adds a ticket.
	 * @param ticket the ticket
	 * @param cost the expected service time of its call; ignored by
	 * {@link QueuePolicy#FIFO}
	 */
	void add(Ticket ticket, Duration cost);

	/**
	 * Removes and returns the next ticket that can be assigned. Tickets that cannot be
	 * assigned keep their place.
	 * @param assignable whether an endpoint with free capacity can receive the ticket
	 * @return the ticket; empty if none can be assigned
	 */
	Optional<Ticket> poll(Predicate<Ticket> assignable);

	/**
	 * Removes a ticket from any position.
	 * @param ticket the ticket
	 * @return whether the ticket was in the queue
	 */
	boolean remove(Ticket ticket);

	/**
	 * Returns the length of the queue.
	 * @return the number of waiting tickets, without expected ones
	 */
	int size();

	/**
	 * Counts an admitted request that will need this pool after earlier stages.
	 * @param organisation the organisation that sent the request
	 */
	void addExpected(OrganisationId organisation);

	/**
	 * Removes a request that was counted with {@link #addExpected}, once its ticket is
	 * added or it is known that it will not need the pool.
	 * @param organisation the organisation that sent the request
	 */
	void removeExpected(OrganisationId organisation);

	/**
	 * Returns how many tickets, expected requests included, would be served before a new
	 * ticket of an organisation.
	 * @param organisation the organisation
	 * @return the number of tickets ahead
	 */
	int ticketsAhead(OrganisationId organisation);

}
