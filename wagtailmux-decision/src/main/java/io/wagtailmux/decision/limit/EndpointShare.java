package io.wagtailmux.decision.limit;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.BootId;

/**
 * One instance's share of one endpoint: its floor, its grant, and its own caution after
 * failures. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class EndpointShare {

	private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(100);

	private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(3);

	private Optional<BootId> boot = Optional.empty();

	private boolean proven;

	private int granted;

	private Duration grantedUntil = Duration.ZERO;

	private Duration blockedUntil = Duration.ZERO;

	private Duration backoff = SHORTEST_BACKOFF;

	private int cap = Integer.MAX_VALUE;

	private int goodAnswers;

	private int failures;

	/**
	 * Takes a grant.
	 * @param grant the grant
	 * @param asked when it was asked for, as elapsed time
	 */
	public void updateGrant(ShareGrant grant, Duration asked) {
		updateBoot(grant.boot(), grant.proven());
		this.granted = grant.units();
		this.grantedUntil = asked.plus(grant.lifetime());
	}

	/**
	 * Takes note of what is known of the endpoint's process.
	 * @param run the run of the process
	 * @param isProven whether it is proven to bear its warm limit
	 */
	public void updateBoot(BootId run, boolean isProven) {
		if (!this.boot.equals(Optional.of(run))) {
			this.boot = Optional.of(run);
			this.granted = 0;
			this.cap = Integer.MAX_VALUE;
			this.goodAnswers = 0;
			this.failures = 0;
		}
		this.proven = isProven;
	}

	/**
	 * Takes the end of a call.
	 * @param outcome how it ended
	 * @param inFlightAtStart this instance's calls in flight when it started, itself
	 * included
	 * @param share the share when it ended
	 * @param now the elapsed time
	 */
	public void onCallEnded(CallOutcome outcome, int inFlightAtStart, int share, Duration now) {
		switch (outcome) {
			case ANSWERED -> {
				this.backoff = SHORTEST_BACKOFF;
				this.cap = (this.cap > Integer.MAX_VALUE / 2) ? Integer.MAX_VALUE : this.cap * 2;
				this.goodAnswers += (inFlightAtStart >= share) ? 1 : 0;
			}
			case FAILED, BROKEN, TIMED_OUT -> {
				this.cap = 1;
				this.failures++;
			}
			case NOT_SENT -> {
				this.blockedUntil = now.plus(this.backoff);
				Duration doubled = this.backoff.multipliedBy(2);
				this.backoff = (doubled.compareTo(LONGEST_BACKOFF) < 0) ? doubled : LONGEST_BACKOFF;
			}
			default -> {
				// Proof that nothing ran says nothing about what the endpoint bears.
			}
		}
	}

	/**
	 * Returns the calls that the instance may have in flight.
	 * @param floor the floor of the instance's slots
	 * @param now the elapsed time
	 * @return the share; zero while no run of the endpoint's process is known, and for a
	 * while after it could not be reached
	 */
	public int share(int floor, Duration now) {
		if (this.boot.isEmpty() || now.compareTo(this.blockedUntil) < 0) {
			return 0;
		}
		return Math.min(this.cap, (this.proven ? floor : 0) + granted(now));
	}

	/**
	 * Returns the grant that is in force.
	 * @param now the elapsed time
	 * @return calls above the floor
	 */
	public int granted(Duration now) {
		return (now.compareTo(this.grantedUntil) < 0) ? this.granted : 0;
	}

	/**
	 * Returns the run of the endpoint's process that the share is for.
	 * @return the run, if one is known
	 */
	public Optional<BootId> boot() {
		return this.boot;
	}

	/**
	 * Tells whether that run is proven to bear its warm limit.
	 * @return whether the floor is in force
	 */
	public boolean proven() {
		return this.proven;
	}

	/**
	 * Returns the good answers since the last call of this method.
	 * @return the number of answers
	 */
	public int takeGoodAnswers() {
		int taken = this.goodAnswers;
		this.goodAnswers = 0;
		return taken;
	}

	/**
	 * Returns the failures since the last call of this method.
	 * @return the number of failures
	 */
	public int takeFailures() {
		int taken = this.failures;
		this.failures = 0;
		return taken;
	}

}
