package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.OrganisationId;

/**
 * Values that this instance adds to a request when it forwards it to an endpoint.
 *
 * @param endpoint the endpoint that is to execute the request; any other refuses it
 * @param remaining the time until the deadline of the request
 * @param organisation the organisation that sent the request; empty if the request has
 * none
 * @param inputs the results of earlier stages that the endpoint reads first
 * @param lastEventId the id of the last event that the caller received, in this request
 * or before it; the endpoint continues the stream after it. Empty if no stream is resumed
 * @param urgency the urgency for the endpoint, from zero (most urgent) to nine; empty if
 * not sent
 * @author the wagtailmux developers
 */
public record ForwardedCall(EndpointId endpoint, Duration remaining, Optional<OrganisationId> organisation,
		List<ResultHandle> inputs, Optional<String> lastEventId, OptionalInt urgency) {

	/**
	 * Creates the description.
	 */
	public ForwardedCall {
		inputs = List.copyOf(inputs);
	}

}
