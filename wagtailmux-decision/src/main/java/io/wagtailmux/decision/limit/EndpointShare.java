package io.wagtailmux.decision.limit;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.BootId;

/**
 * The number of calls that this instance may have in flight at one endpoint: its floor
 * plus its grant. A failed call caps the share at one; each answer doubles the cap. After
 * a call that could not be sent, the share is zero during a backoff. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class EndpointShare {

	private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(100);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(3);

	private Optional<BootId> boot = Optional.empty();

	private boolean proven;

	private int granted;

	private Duration grantedUntil = Duration.ZERO;

	private Duration blockedUntil = Duration.ZERO;

	private Duration backoff = MINIMUM_BACKOFF;

	private int cap = Integer.MAX_VALUE;

	private int goodAnswers;

	private int failures;

	/**
	 * Replaces the grant.
	 * @param grant the new grant
	 * @param requestedAt when it was requested, as elapsed time; its lifetime counts from
	 * then
	 */
	public void updateGrant(ShareGrant grant, Duration requestedAt) {
		updateBoot(grant.boot(), grant.proven());
		this.granted = grant.units();
		this.grantedUntil = requestedAt.plus(grant.lifetime());
	}

	/**
	 * Updates the incarnation of the endpoint's process. A new incarnation loses the
	 * grant, the cap and the counts of the previous one; a backoff continues.
	 * @param current the incarnation that is running now
	 * @param isProven whether this incarnation is proven to sustain its warm limit
	 */
	public void updateBoot(BootId current, boolean isProven) {
		if (!this.boot.equals(Optional.of(current))) {
			this.boot = Optional.of(current);
			this.granted = 0;
			this.cap = Integer.MAX_VALUE;
			this.goodAnswers = 0;
			this.failures = 0;
		}
		this.proven = isProven;
	}

	/**
	 * Updates the cap, the backoff and the counts after a call.
	 * @param outcome the outcome of the call
	 * @param inFlightAtStart this instance's calls in flight when the call started, this
	 * call included
	 * @param share the share when the call ended; a good answer is counted for the report
	 * to the limiter only if {@code inFlightAtStart} is at least this share
	 * @param now the elapsed time
	 */
	public void onCallEnded(CallOutcome outcome, int inFlightAtStart, int share, Duration now) {
		switch (outcome) {
			case ANSWERED -> {
				this.backoff = MINIMUM_BACKOFF;
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
				this.backoff = (doubled.compareTo(MAXIMUM_BACKOFF) < 0) ? doubled : MAXIMUM_BACKOFF;
			}
			default -> {
				// Refused, crossed and abandoned calls show nothing about the number of
				// calls that the endpoint can run.
			}
		}
	}

	/**
	 * Returns the number of calls that this instance may have in flight.
	 * @param floor the floor of this instance's slots; it applies only to a proven
	 * endpoint
	 * @param now the elapsed time
	 * @return the share; zero while no incarnation of the endpoint's process is known and
	 * during the backoff after a connection failure
	 */
	public int share(int floor, Duration now) {
		if (this.boot.isEmpty() || now.compareTo(this.blockedUntil) < 0) {
			return 0;
		}
		return Math.min(this.cap, (this.proven ? floor : 0) + granted(now));
	}

	/**
	 * Returns the size of the current grant.
	 * @param now the elapsed time
	 * @return calls above the floor; zero if the grant has expired
	 */
	public int granted(Duration now) {
		return (now.compareTo(this.grantedUntil) < 0) ? this.granted : 0;
	}

	/**
	 * Returns the incarnation of the endpoint's process to which the share applies.
	 * @return the incarnation, or empty if none is known
	 */
	public Optional<BootId> boot() {
		return this.boot;
	}

	/**
	 * Returns whether the current incarnation is proven to sustain its warm limit.
	 * @return whether the floor applies
	 */
	public boolean proven() {
		return this.proven;
	}

	/**
	 * Returns the good answers to calls that used the whole share, and resets the count.
	 * @return the number of answers since the last call of this method
	 */
	public int takeGoodAnswers() {
		int taken = this.goodAnswers;
		this.goodAnswers = 0;
		return taken;
	}

	/**
	 * Returns the failed calls and resets the count.
	 * @return the number of failures since the last call of this method
	 */
	public int takeFailures() {
		int taken = this.failures;
		this.failures = 0;
		return taken;
	}

}
