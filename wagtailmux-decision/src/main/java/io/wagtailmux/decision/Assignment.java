package io.wagtailmux.decision;

import java.util.List;
import java.util.Optional;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;

/**
 * Decision to send the call of a ticket to an endpoint.
 *
 * @param ticket the ticket
 * @param endpoint the endpoint
 * @param boot the incarnation of the endpoint's process that the call is meant for; empty
 * if it is not known
 * @param inFlight the number of calls that this instance has in flight at the endpoint,
 * this one and abandoned calls that the endpoint may still be running included
 * @param reason why this endpoint was chosen, as text for the decision log
 * @param runnersUp the other candidates with the earliest expected finish, earliest
 * first, at most three
 * @author the wagtailmux developers
 */
public record Assignment(Ticket ticket, Endpoint endpoint, Optional<BootId> boot, int inFlight, String reason,
		List<EndpointId> runnersUp) {

}
