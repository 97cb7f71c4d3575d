package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Owns all control state and publishes a view of it for traffic after each change.
 * Everything here happens on the control thread.
 *
 * @author the wagtailmux developers
 */
public final class ServingControl {

	private static final int INSTANCES_WITHOUT_PAUSE = 13;

	private static final Duration PAUSE_FOR_EACH_INSTANCE = Duration.ofMillis(8);

	/** Changes must be in force within two seconds or more. */
	private static final Duration LONGEST_PAUSE_AFTER_CHANGE = Duration.ofMillis(400);

	private final ScheduledExecutorService control;

	private final EndpointRegistry registry;

	private final OperatorFacts operator;

	private final Membership membership;

	private final RolloutControl rollouts;

	private final Consumer<ServingView> traffic;

	private boolean publishScheduled;

	/**
	 * Creates the control state of an instance that knows nothing yet.
	 * @param self this instance's record
	 * @param codec reads rows of the store
	 * @param store the store
	 * @param client asks other instances; used on the traffic thread
	 * @param control the control thread
	 * @param time the clock
	 * @param traffic takes each new view, called on the control thread
	 * @param trials tells what traffic saw of versions under trial
	 * @param exposureShare the part of a pool's requests that a bad version may get
	 */
	public ServingControl(InstanceRecordMessage self, FactCodec codec, RowStore store, HttpClient client,
			ScheduledExecutorService control, TimeSource time, Consumer<ServingView> traffic, TrialSource trials,
			double exposureShare) {
		this.control = control;
		this.traffic = traffic;
		this.registry = new EndpointRegistry(codec, store, control, time, this::pauseAfterChange,
				this::schedulePublish);
		this.operator = new OperatorFacts(codec, store, control, time, this::pauseAfterChange, this::schedulePublish);
		this.membership = new Membership(self, store, client, control, time, this::schedulePublish, this::heard,
				this::duties);
		this.rollouts = new RolloutControl(new InstanceId(self.getInstance()), codec, store, this.operator,
				this.membership, trials, exposureShare, control, time, this::schedulePublish);
	}

	/**
	 * Begins to follow the store and to look for other instances.
	 */
	public void start() {
		this.control.execute(() -> {
			this.operator.start();
			this.registry.start();
			this.membership.start();
			this.rollouts.start();
		});
	}

	/**
	 * Tells others that this instance is leaving.
	 */
	public void deregister() {
		this.control.execute(this.membership::deregister);
	}

	/**
	 * Returns how long changes of a table may collect. Calls are priced and grow with
	 * instances times changes, so many instances hear of changes a little later.
	 * @return the time after a change
	 */
	private Duration pauseAfterChange() {
		int instances = this.membership.alive().size() + 1;
		Duration pause = PAUSE_FOR_EACH_INSTANCE.multipliedBy(Math.max(0, instances - INSTANCES_WITHOUT_PAUSE));
		return (pause.compareTo(LONGEST_PAUSE_AFTER_CHANGE) < 0) ? pause : LONGEST_PAUSE_AFTER_CHANGE;
	}

	/**
	 * Names what one instance does for all: it owns a pool of stages or tells of a pool's
	 * move to another version, by the pool's name.
	 * @return the names
	 */
	private Set<String> duties() {
		Set<String> duties = new HashSet<>();
		this.operator.configuration().ifPresent((configuration) -> configuration.pools().forEach((id, pool) -> {
			if (pool.batch().isPresent()) {
				duties.add(id.value());
			}
		}));
		this.operator.rollouts().values().forEach((order) -> duties.add(order.pool().value()));
		return duties;
	}

	private void heard(PingMessage answer) {
		this.rollouts.heard(answer);
	}

	private void schedulePublish() {
		if (!this.publishScheduled) {
			this.publishScheduled = true;
			this.control.execute(this::publish);
		}
	}

	private void publish() {
		this.publishScheduled = false;
		if (!this.registry.known()) {
			return;
		}
		this.traffic.accept(new ServingView(this.operator.configuration(), Map.copyOf(this.registry.endpoints()),
				this.operator.evacuated(), this.rollouts.trials(), this.membership.alive(),
				this.membership.possiblyAlive()));
	}

}
