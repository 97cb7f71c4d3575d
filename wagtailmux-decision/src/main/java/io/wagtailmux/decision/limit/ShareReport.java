package io.wagtailmux.decision.limit;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;

/**
 * An instance's report to the limiter of an endpoint, which is also its request for a
 * grant.
 *
 * @param instance the reporting instance
 * @param endpoint the endpoint
 * @param boot the incarnation of the endpoint's process to which the figures refer; an
 * empty string if none is known
 * @param granted the size of the grant that the instance holds; it may have that many
 * calls in flight above its floor until it receives a smaller one
 * @param inFlight its number of calls in flight above its floor
 * @param wanted the size of the grant that it could use
 * @param goodAnswers the number of good answers to calls that used its whole share, since
 * its last report
 * @param failures the number of failed calls since its last report
 * @author the wagtailmux developers
 */
public record ShareReport(InstanceId instance, EndpointId endpoint, String boot, int granted, int inFlight, int wanted,
		int goodAnswers, int failures) {

	/**
	 * Returns whether the figures refer to an incarnation of the endpoint's process.
	 * @param other the incarnation
	 * @return whether the report names this incarnation
	 */
	boolean isAbout(BootId other) {
		return this.boot.equals(other.value());
	}

}
