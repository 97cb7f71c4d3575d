package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.rollout.RolloutPlan;
import io.wagtailmux.decision.rollout.VersionCounts;
import io.wagtailmux.decision.rollout.VersionEvaluation;
import io.wagtailmux.engine.port.OperatorFact;
import io.wagtailmux.engine.port.RolloutState;
import io.wagtailmux.engine.port.RolloutStatus;
import io.wagtailmux.engine.state.TrialPhase;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.engine.state.VersionTrial;

/**
 * One ordered move to another version, as this instance sees it.
 *
 * <p>
 * Each instance stops the trial by itself, from what all of them saw; one that hears that
 * another has stopped it stops too. What the operator was told goes before that: nothing
 * is decided twice.
 *
 * @author the wagtailmux developers
 */
final class Rollout {

	private final OperatorFact.Rollout order;

	private final long orderVersion;

	private final RolloutPlan plan;

	private final Map<String, TrialReport> reports = new HashMap<>();

	private Duration orderedAt;

	private Optional<RolloutStatus> status = Optional.empty();

	private long statusVersion;

	private boolean statusKnown;

	private boolean stopped;

	/**
	 * Creates the move.
	 * @param order what was ordered
	 * @param orderVersion the version of the row that says so
	 * @param exposureShare the part of the pool's requests that a bad version may get
	 * @param now the elapsed time
	 */
	Rollout(OperatorFact.Rollout order, long orderVersion, double exposureShare, Duration now) {
		this.order = order;
		this.orderVersion = orderVersion;
		this.plan = new RolloutPlan(exposureShare, order.duration());
		this.orderedAt = now;
	}

	OperatorFact.Rollout order() {
		return this.order;
	}

	long orderVersion() {
		return this.orderVersion;
	}

	/**
	 * Takes what an instance saw. An instance that learnt of the order earlier knows
	 * better when it was made.
	 * @param instance the instance and its boot, by which its counts are told apart
	 * @param report what it says
	 * @param now the elapsed time
	 */
	void take(String instance, TrialReport report, Duration now) {
		if (report.order() != this.orderVersion) {
			return;
		}
		this.reports.put(instance, report);
		Duration reported = now.minus(report.age());
		if (reported.compareTo(this.orderedAt) < 0) {
			this.orderedAt = reported;
		}
		this.stopped |= report.stopped() || VersionEvaluation.isWorse(tried(), others());
	}

	/**
	 * Takes what the operator was told last.
	 * @param row the status
	 * @param version the version of its row, zero if there is none
	 */
	void told(Optional<RolloutStatus> row, long version) {
		this.statusKnown = true;
		this.statusVersion = version;
		this.status = row
			.filter((found) -> version > this.orderVersion && found.version().equals(this.order.version()));
	}

	/**
	 * Takes note that what the operator was told has to be read again.
	 */
	void statusUncertain() {
		this.statusKnown = false;
	}

	boolean decided() {
		return this.status.map((found) -> found.state().terminal()).orElse(false);
	}

	long statusVersion() {
		return this.statusVersion;
	}

	/**
	 * Returns what the operator has to be told next.
	 * @param now the elapsed time
	 * @return the state; nothing if it was told, or if that is not known
	 */
	Optional<RolloutState> due(Duration now) {
		if (!this.statusKnown || decided()) {
			return Optional.empty();
		}
		if (this.stopped) {
			return Optional.of(RolloutState.ROLLED_BACK);
		}
		if (this.plan.isComplete(age(now))) {
			return Optional.of(RolloutState.COMPLETED);
		}
		return this.status.isEmpty() ? Optional.of(RolloutState.RUNNING) : Optional.empty();
	}

	TrialPhase phase(Duration now) {
		if (this.status.isPresent() && decided()) {
			boolean completed = this.status.get().state() == RolloutState.COMPLETED;
			return completed ? TrialPhase.COMPLETED : TrialPhase.STOPPED;
		}
		if (this.stopped) {
			return TrialPhase.STOPPED;
		}
		if (this.status.isEmpty()) {
			return TrialPhase.UNKNOWN;
		}
		return this.plan.takesAllRequests(age(now)) ? TrialPhase.MOVED : TrialPhase.TRIED;
	}

	VersionTrial trial(Duration now) {
		TrialPhase phase = phase(now);
		return new VersionTrial(this.order.version(), this.orderVersion, this.orderedAt, phase,
				phase.share(this.plan.trialShare()));
	}

	VersionCounts tried() {
		return this.reports.values().stream().map(TrialReport::tried).reduce(VersionCounts.NONE, VersionCounts::plus);
	}

	VersionCounts others() {
		return this.reports.values().stream().map(TrialReport::others).reduce(VersionCounts.NONE, VersionCounts::plus);
	}

	Duration age(Duration now) {
		return now.minus(this.orderedAt);
	}

}
