package io.wagtailmux.engine.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.model.serving.CallerLimits;
import io.wagtailmux.model.serving.ColdLimit;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.model.serving.ServingPool;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the endpoints of pools that the configuration does not name any more.
 */
class ServingStateTests {

	private static final PoolId POOL = new PoolId("pool");

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone");

	private final ServingState state = new ServingState(
			new DutyCandidate(new InstanceId("instance"), new InstanceCapacity(1, 1000)),
			new SharedLimits(0.2, Duration.ofSeconds(10), 50, 1.5, 5, 0.1, 50), TimeSource.system(), (pool) -> null);

	/**
	 * Guards against requests in progress that are sent to endpoints which began to leave
	 * after their pool was taken out of the configuration.
	 */
	@Test
	void endpointsOfAPoolThatTheConfigurationDoesNotNameAnyMoreCanLeave() {
		this.state.updateView(view(1, true, false));
		assertThat(candidates()).isOne();
		this.state.updateView(view(2, false, false));
		assertThat(candidates()).isOne();
		this.state.updateView(view(2, false, true));
		assertThat(candidates()).isZero();
	}

	private int candidates() {
		return this.state.pool(POOL).orElseThrow().candidates(false, Duration.ofDays(365)).size();
	}

	private static ServingView view(long version, boolean named, boolean draining) {
		ServingPool pool = new ServingPool(POOL, "/health", 64, new ColdLimit(Duration.ZERO, OptionalDouble.empty()),
				Optional.empty(), Optional.empty(), Optional.empty());
		ServingConfiguration configuration = new ServingConfiguration(version, List.of(),
				named ? Map.of(POOL, pool) : Map.of(),
				new CallerLimits(8192, 65_536, Duration.ofSeconds(1), Duration.ofSeconds(1)), Optional.empty());
		RegisteredEndpoint endpoint = new RegisteredEndpoint(ENDPOINT, POOL, new InetSocketAddress("127.0.0.1", 1),
				ZONE, new VersionId("v1"), 1, draining, Duration.ZERO, 1);
		return new ServingView(Optional.of(configuration), Map.of(ENDPOINT, endpoint), Set.of(), Map.of(), List.of(),
				1);
	}

}
