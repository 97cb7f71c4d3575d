package io.wagtailmux.decision.poison;

import io.wagtailmux.model.EndpointId;

/**
 * One process of an endpoint, from its start to its end.
 *
 * @param endpoint the id of the endpoint, which may stay the same after a restart
 * @param startedAtMillis when the process started, in milliseconds since the epoch, as
 * the endpoint states it; zero if unknown
 * @author the wagtailmux developers
 */
public record EndpointRun(EndpointId endpoint, long startedAtMillis) {

	@Override
	public String toString() {
		return this.endpoint + "@" + this.startedAtMillis;
	}

}
