package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.wagtailmux.decision.rollout.RolloutPlan;
import io.wagtailmux.decision.rollout.VersionComparison;
import io.wagtailmux.engine.port.OperatorFact;
import io.wagtailmux.engine.port.RolloutState;
import io.wagtailmux.engine.port.RolloutStatus;
import io.wagtailmux.engine.state.TrialPhase;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.engine.state.VersionTrial;

/**
 * Rollout that the operator ordered, as this instance sees it.
 *
 * <p>
 * Each instance decides on its own, from the reports of all instances, whether to stop
 * the rollout; it also stops when another instance reports that it has done so. A final
 * status in the store takes precedence over both, so that a rollout is decided only once.
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
	 * Creates a rollout without reports, whose status is not known yet.
	 * @param order the order
	 * @param orderVersion the version of the order's row
	 * @param exposureShare the largest share of the pool's requests that may reach a
	 * faulty version
	 * @param now the elapsed time at which this instance read the order
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
	 * Adds an instance's report, which replaces its earlier one, and stops the rollout if
	 * the report says that the instance stopped it or if the reports together show that
	 * the version is worse than others. Reports on other orders are ignored. The largest
	 * age that any instance reports determines when the order was made, since that
	 * instance read it first.
	 * @param instance identifies the instance and its incarnation, each of which has
	 * counts of its own
	 * @param report the report
	 * @param now the elapsed time
	 */
	void addReport(String instance, TrialReport report, Duration now) {
		if (report.order() != this.orderVersion) {
			return;
		}
		this.reports.put(instance, report);
		Duration reported = now.minus(report.age());
		if (reported.compareTo(this.orderedAt) < 0) {
			this.orderedAt = reported;
		}
		this.stopped |= report.stopped() || answers().isWorse() || streams().isWorse();
	}

	/**
	 * Updates the status that is stored for the operator. A status that is older than the
	 * order or belongs to another version is ignored.
	 * @param row the status; empty if there is none or it cannot be decoded
	 * @param version the version of its row, zero if there is none
	 */
	void updateStatus(Optional<RolloutStatus> row, long version) {
		this.statusKnown = true;
		this.statusVersion = version;
		this.status = row
			.filter((found) -> version > this.orderVersion && found.version().equals(this.order.version()));
	}

	/**
	 * Marks the stored status as unknown, so that it has to be read before the next
	 * write.
	 */
	void invalidateStatus() {
		this.statusKnown = false;
	}

	boolean isTerminal() {
		return this.status.map((found) -> found.state().terminal()).orElse(false);
	}

	long statusVersion() {
		return this.statusVersion;
	}

	/**
	 * Returns the state that has to be written for the operator next.
	 * @param now the elapsed time
	 * @return the state; empty if nothing has to be written, or if the stored status is
	 * not known
	 */
	Optional<RolloutState> nextState(Duration now) {
		if (!this.statusKnown || isTerminal()) {
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
		if (this.status.isPresent() && isTerminal()) {
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

	VersionComparison answers() {
		return sum(TrialReport::answers);
	}

	VersionComparison streams() {
		return sum(TrialReport::streams);
	}

	private VersionComparison sum(Function<TrialReport, VersionComparison> counts) {
		return this.reports.values().stream().map(counts).reduce(VersionComparison.NONE, VersionComparison::plus);
	}

	Duration age(Duration now) {
		return now.minus(this.orderedAt);
	}

}
