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
import io.wagtailmux.model.StoreVersion;

/**
 * Rollout that the operator ordered, as this instance sees it.
 *
 * <p>
 * Each instance decides on its own, from the reports of all instances, whether to stop
 * the rollout; it also stops when another instance reports that it has done so. A final
 * status in the store takes precedence over both, so that a rollout is decided only once.
 * It stays in force if a restored store lacks it, and is then written again.
 *
 * @author the wagtailmux developers
 */
final class Rollout {

	private final OperatorFact.Rollout order;

	private final StoreVersion orderVersion;

	private final RolloutPlan plan;

	private final Map<String, TrialReport> reports = new HashMap<>();

	private Duration orderedAt;

	private Optional<RolloutState> state = Optional.empty();

	private Optional<RolloutState> storedState = Optional.empty();

	private StoreVersion statusVersion = StoreVersion.NONE;

	private StoreVersion orderRowVersion;

	private boolean orderStored = true;

	private boolean statusKnown;

	private boolean stopped;

	/**
	 * Creates a rollout without reports, whose status is not known yet.
	 * @param order the order
	 * @param orderVersion the version under which the order's row was first read
	 * @param exposureShare the largest share of the pool's requests that may reach a
	 * faulty version
	 * @param now the elapsed time at which this instance read the order
	 */
	Rollout(OperatorFact.Rollout order, StoreVersion orderVersion, double exposureShare, Duration now) {
		this.order = order;
		this.orderVersion = orderVersion;
		this.orderRowVersion = orderVersion;
		this.plan = new RolloutPlan(exposureShare, order.duration());
		this.orderedAt = now;
	}

	OperatorFact.Rollout order() {
		return this.order;
	}

	StoreVersion orderVersion() {
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
		if (!report.order().equals(this.orderVersion)) {
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
	 * Updates the version of the order's row. If the row was written again, the stored
	 * status is older than it and may have to be written again as well.
	 * @param version the version under which the row was read last
	 * @return whether it has changed, so that the stored status is unknown
	 */
	boolean updateOrderRow(StoreVersion version) {
		boolean changed = !version.equals(this.orderRowVersion);
		this.orderRowVersion = version;
		this.statusKnown &= !changed;
		return changed;
	}

	/**
	 * Updates the status that is stored for the operator. A status that is older than the
	 * order or belongs to another version is ignored, and so is any status while a
	 * restored store lacks the order.
	 * @param row the status; empty if there is none or it cannot be decoded
	 * @param version the version of its row
	 * @param era the era of the store
	 */
	void updateStatus(Optional<RolloutStatus> row, StoreVersion version, long era) {
		this.statusKnown = true;
		this.statusVersion = version;
		this.orderStored = this.orderRowVersion.era() >= era;
		this.storedState = row.filter((found) -> found.version().equals(this.order.version()))
			.filter((found) -> this.orderStored && version.compareTo(this.orderRowVersion) > 0)
			.map(RolloutStatus::state);
		if (!isTerminal()) {
			this.state = this.storedState.or(() -> this.state);
		}
	}

	/**
	 * Marks the stored status as unknown, so that it has to be read before the next
	 * write.
	 */
	void invalidateStatus() {
		this.statusKnown = false;
	}

	boolean isStatusKnown() {
		return this.statusKnown;
	}

	boolean isTerminal() {
		return this.state.map(RolloutState::terminal).orElse(false);
	}

	/**
	 * Returns whether this instance knows a final status that a restored store has lost.
	 * @return whether the status has to be written again, by any instance
	 */
	boolean isDecisionLost() {
		return this.statusKnown && this.orderStored && isTerminal() && !this.storedState.equals(this.state);
	}

	StoreVersion statusVersion() {
		return this.statusVersion;
	}

	/**
	 * Returns the state that has to be written for the operator next.
	 * @param now the elapsed time
	 * @return the state; empty if nothing has to be written, if the stored status is not
	 * known, or if the restored store lacks the order
	 */
	Optional<RolloutState> nextState(Duration now) {
		if (!this.statusKnown || !this.orderStored) {
			return Optional.empty();
		}
		return Optional.of(wantedState(now)).filter((wanted) -> !this.storedState.equals(Optional.of(wanted)));
	}

	private RolloutState wantedState(Duration now) {
		if (isTerminal()) {
			return this.state.orElseThrow();
		}
		if (this.stopped) {
			return RolloutState.ROLLED_BACK;
		}
		return this.plan.isComplete(age(now)) ? RolloutState.COMPLETED : RolloutState.RUNNING;
	}

	TrialPhase phase(Duration now) {
		if (isTerminal()) {
			boolean completed = this.state.orElseThrow() == RolloutState.COMPLETED;
			return completed ? TrialPhase.COMPLETED : TrialPhase.STOPPED;
		}
		if (this.stopped) {
			return TrialPhase.STOPPED;
		}
		if (this.state.isEmpty()) {
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
