package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * One instance's share of the places of an endpoint that falls over when it has to turn
 * many requests away for want of room.
 *
 * <p>
 * The load that it answers: such an endpoint lets fewer requests wait than usual, and
 * each instance sees a small part of its load only. The instances divide the places at
 * which requests run, so that none has to wait, and so none is turned away. With many
 * more instances than places, each sends one request at a time, at a rate of which all
 * instances together use a part of the places, so that few meet by chance. Not
 * thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class BrittleShare {

	/** After a longer time without an answer, the statement is no longer relied on. */
	private static final Duration STATEMENT_LIFETIME = Duration.ofSeconds(20);

	/**
	 * Part of the places that is used on average where requests of different instances
	 * meet by chance.
	 */
	private static final double USED_PART = 0.6;

	/** With more instances, too many of them would have no place of their own. */
	private static final int INSTANCES_PER_PLACE = 2;

	private final double phase;

	private boolean brittle;

	private Duration statedAt = Duration.ZERO;

	private double saved;

	private Duration savedAt = Duration.ZERO;

	/**
	 * Creates the share at an endpoint that is not brittle.
	 * @param phase the fraction of a request that is saved at first, from zero to below
	 * one; spread evenly over the instances
	 */
	public BrittleShare(double phase) {
		this.phase = phase;
	}

	/**
	 * Records what an answer of the endpoint says.
	 * @param stated whether the endpoint says that it is brittle
	 * @param now the elapsed time
	 * @return whether this differs from what it said before
	 */
	public boolean record(boolean stated, Duration now) {
		boolean changed = stated != this.brittle;
		this.brittle = stated;
		this.statedAt = now;
		if (changed && stated) {
			this.saved = this.phase;
			this.savedAt = now;
		}
		return changed;
	}

	/**
	 * Returns whether the endpoint is brittle.
	 * @param now the elapsed time
	 * @return whether its last answer said so, lately
	 */
	public boolean brittle(Duration now) {
		return this.brittle && now.minus(this.statedAt).compareTo(STATEMENT_LIFETIME) <= 0;
	}

	/**
	 * Returns whether a request may be sent now.
	 * @param inFlight the number of this instance's requests at the endpoint
	 * @param places the number of requests that the endpoint runs at the same time
	 * @param instances the number of instances that may be alive, at least one
	 * @param rank this instance's rank among them for the endpoint, from zero
	 * @param serviceTime how long the endpoint runs a request
	 * @param now the elapsed time
	 * @return true if the endpoint is not brittle
	 */
	public boolean allows(int inFlight, int places, int instances, int rank, Duration serviceTime, Duration now) {
		if (!brittle(now)) {
			return true;
		}
		if (instances <= INSTANCES_PER_PLACE * places) {
			return inFlight < places / instances + ((rank < places % instances) ? 1 : 0);
		}
		save(places, instances, serviceTime, now);
		return inFlight == 0 && this.saved >= 1;
	}

	/**
	 * Records that a request is sent.
	 */
	public void recordCall() {
		this.saved = 0;
	}

	private void save(int places, int instances, Duration serviceTime, Duration now) {
		double perNanosecond = USED_PART * places / ((double) instances * Math.max(1, serviceTime.toNanos()));
		this.saved = Math.min(1, this.saved + perNanosecond * now.minus(this.savedAt).toNanos());
		this.savedAt = now;
	}

}
