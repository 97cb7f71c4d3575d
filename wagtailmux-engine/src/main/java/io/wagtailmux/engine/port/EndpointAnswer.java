package io.wagtailmux.engine.port;

import java.util.Optional;

/**
 * What an endpoint said beside its answer.
 *
 * @param status the HTTP status
 * @param notRun whether it states that it did not run the request
 * @param signed whether it signed the answer as its own
 * @param transformed whether the body is encoded, and so not the endpoint's own bytes
 * @param load its load
 * @author the wagtailmux developers
 */
public record EndpointAnswer(int status, boolean notRun, boolean signed, boolean transformed,
		Optional<ReportedLoad> load) {

	/**
	 * Tells whether this is a success that may be passed on.
	 * @return whether status, proof and body are as they must be
	 */
	public boolean success() {
		return this.status >= 200 && this.status < 300 && this.signed && !this.transformed;
	}

}
