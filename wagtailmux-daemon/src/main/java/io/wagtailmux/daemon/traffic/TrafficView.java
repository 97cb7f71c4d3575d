package io.wagtailmux.daemon.traffic;

import java.util.Map;

import io.wagtailmux.model.Pipeline;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.store.configuration.AcceptedConfiguration;

/**
 * An immutable snapshot of the control state for traffic threads.
 *
 * @param accepted the configuration in force
 * @param gates the gate of each pool
 * @author the wagtailmux developers
 */
public record TrafficView(AcceptedConfiguration accepted, Map<PoolId, PoolGate> gates) {

	/** The view before any configuration is in force. */
	public static final TrafficView NONE = new TrafficView(AcceptedConfiguration.NONE, Map.of());

	/**
	 * Creates the view, with a copy of the map.
	 */
	public TrafficView {
		gates = Map.copyOf(gates);
	}

	/**
	 * Tells whether a pipeline has a stage that must not run twice.
	 * @param pipeline a pipeline of the configuration in force
	 * @return whether the pool of any stage is not idempotent
	 */
	public boolean hasNonIdempotentStage(Pipeline pipeline) {
		return pipeline.stages()
			.stream()
			.anyMatch((stage) -> !this.accepted.configuration().pools().get(stage.pool()).idempotent());
	}

}
