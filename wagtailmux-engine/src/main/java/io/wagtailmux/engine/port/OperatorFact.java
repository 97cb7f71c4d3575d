package io.wagtailmux.engine.port;

import java.time.Duration;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Decoded content of a row that the operator wrote.
 *
 * @author the wagtailmux developers
 */
public sealed interface OperatorFact {

	/**
	 * A configuration that was accepted.
	 *
	 * @param configuration the configuration
	 */
	record Accepted(ServingConfiguration configuration) implements OperatorFact {

	}

	/**
	 * An evacuation: endpoints of the availability zone get no requests while the row
	 * exists.
	 *
	 * @param zone the availability zone
	 */
	record Evacuation(AvailabilityZoneId zone) implements OperatorFact {

	}

	/**
	 * A rollout: the traffic of a pool moves to a version.
	 *
	 * @param pool the pool
	 * @param version the version that is to get all traffic
	 * @param duration the time for the move, counted from the write of the row
	 */
	record Rollout(PoolId pool, VersionId version, Duration duration) implements OperatorFact {

	}

	/**
	 * A row that instances ignore.
	 */
	record Irrelevant() implements OperatorFact {

	}

}
