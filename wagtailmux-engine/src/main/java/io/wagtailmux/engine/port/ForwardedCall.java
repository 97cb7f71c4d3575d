package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.OrganisationId;

/**
 * What this instance adds to a request that it sends to an endpoint.
 *
 * @param endpoint the endpoint that is to run it; any other refuses
 * @param remaining the time that is left
 * @param organisation whose request it is
 * @param inputs the results that the endpoint reads before it begins
 * @param lastEventId the last event that the caller has
 * @param urgency how urgent the request is to the endpoint, from zero, the most urgent,
 * to nine
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
