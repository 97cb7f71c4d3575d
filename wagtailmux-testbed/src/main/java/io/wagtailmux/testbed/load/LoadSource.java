package io.wagtailmux.testbed.load;

import java.time.Duration;

/**
 * The load of one organisation on one pipeline: Poisson arrivals with an optional burst.
 * Times are measured from the start of the load.
 *
 * @param organisation the id of the organisation
 * @param pipeline the id of the pipeline
 * @param perSecond the average rate outside the burst, in requests per second
 * @param timeout the timeout of each request
 * @param keyed whether each request has an idempotency key of its own
 * @param burstFactor the factor by which the rate is multiplied during the burst; one for
 * no burst
 * @param burstStart the start of the burst
 * @param burstEnd the end of the burst, exclusive
 * @author the wagtailmux developers
 */
public record LoadSource(String organisation, String pipeline, double perSecond, Duration timeout, boolean keyed,
		double burstFactor, Duration burstStart, Duration burstEnd) {

	/**
	 * Creates a source without a burst and without keys.
	 * @param organisation the id of the organisation
	 * @param pipeline the id of the pipeline
	 * @param perSecond the average rate, in requests per second
	 * @param timeout the timeout of each request
	 * @return the source
	 */
	public static LoadSource steady(String organisation, String pipeline, double perSecond, Duration timeout) {
		return new LoadSource(organisation, pipeline, perSecond, timeout, false, 1, Duration.ZERO, Duration.ZERO);
	}

	/**
	 * Returns a copy of this source with a burst.
	 * @param factor the factor by which the rate is multiplied
	 * @param start the start of the burst
	 * @param end the end of the burst, exclusive
	 * @return the copy
	 */
	public LoadSource withBurst(double factor, Duration start, Duration end) {
		return new LoadSource(this.organisation, this.pipeline, this.perSecond, this.timeout, this.keyed, factor, start,
				end);
	}

	/**
	 * Returns a copy of this source whose requests have an idempotency key each.
	 * @return the copy
	 */
	public LoadSource withKeys() {
		return new LoadSource(this.organisation, this.pipeline, this.perSecond, this.timeout, true, this.burstFactor,
				this.burstStart, this.burstEnd);
	}

	/**
	 * Returns the average rate at a time.
	 * @param time the time since the start of the load
	 * @return the rate in requests per second
	 */
	double rateAt(Duration time) {
		boolean burst = time.compareTo(this.burstStart) >= 0 && time.compareTo(this.burstEnd) < 0;
		return burst ? this.perSecond * this.burstFactor : this.perSecond;
	}

}
