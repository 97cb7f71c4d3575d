package io.wagtailmux.engine.state;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.model.serving.RegisteredEndpoint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StatedSpeeds}.
 */
class StatedSpeedsTests {

	private final StatedSpeeds speeds = new StatedSpeeds();

	/** What is told must not grow with the number of endpoints. */
	@ParameterizedTest
	@ValueSource(ints = { 3, 600 })
	void theTwoNewestStatementsAreTold(int endpoints) {
		for (int number = 1; number <= endpoints; number++) {
			this.speeds.record(endpoint(number), 1.7, Duration.ofMillis(number));
		}
		assertThat(this.speeds.newest(Duration.ofMillis(endpoints)))
			.extracting((statement) -> statement.endpoint().id().value())
			.containsExactly("engine-" + endpoints, "engine-" + (endpoints - 1));
		assertThat(this.speeds.newest(Duration.ofSeconds(10))).isEmpty();
	}

	private static RegisteredEndpoint endpoint(int number) {
		return new RegisteredEndpoint(new EndpointId("engine-" + number), new PoolId("engine"),
				new InetSocketAddress("127.0.0.1", 1), new AvailabilityZoneId("zone-a"), new VersionId("v1"), 8, false,
				Duration.ZERO, 1);
	}

}
