package io.wagtailmux.engine.control;

import java.util.Map;
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
		this.registry = new EndpointRegistry(codec, store, control, time, this::schedulePublish);
		this.operator = new OperatorFacts(codec, store, control, time, this::schedulePublish);
		this.membership = new Membership(self, store, client, control, time, this::schedulePublish, this::heard);
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
	public void leave() {
		this.control.execute(this.membership::leave);
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
