package io.wagtailmux.engine.port;

import java.util.Optional;

/**
 * Values that an endpoint stated in the headers of its response.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint states that it did not execute the request
 * @param signed whether the response carries the signature header of the endpoint and
 * belongs to the request
 * @param transformed whether the body has a content encoding, and so is not as the
 * endpoint wrote it
 * @param load the load of the endpoint; empty if not reported
 * @param limit the limit that the endpoint names
 * @param leaving whether the endpoint states that its process is leaving
 * @param awayTime the time to stay away that the endpoint names with a refusal
 * @param brittle whether the endpoint states that it falls over if it has to turn many
 * requests away
 * @author the wagtailmux developers
 */
public record EndpointAnswer(int status, boolean notRun, boolean signed, boolean transformed,
		Optional<ReportedLoad> load, StatedLimit limit, boolean leaving, StatedAwayTime awayTime, boolean brittle) {

	/**
	 * Returns whether this is a successful response that may be forwarded to the caller.
	 * @return whether the status is 2xx, the response signed and the body not transformed
	 */
	public boolean success() {
		return this.status >= 200 && this.status < 300 && this.signed && !this.transformed;
	}

}
