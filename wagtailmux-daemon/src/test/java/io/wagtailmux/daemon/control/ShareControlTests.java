package io.wagtailmux.daemon.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.wagtailmux.daemon.traffic.PoolGate;
import io.wagtailmux.daemon.traffic.PoolGates;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.decision.limit.ShareGrant;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.configuration.ConfigurationFormat;

import static org.assertj.core.api.Assertions.assertThat;

class ShareControlTests {

	private static final EndpointId ENDPOINT = new EndpointId("reader-voices-1");

	private static final Duration NOW = Duration.ofSeconds(10);

	private final ShareControl shares = new ShareControl(new InstanceId("entry-1"), new AvailabilityZoneId("perth-a"));

	private SystemConfiguration configuration;

	private Pool pool;

	private PoolGate gate;

	@BeforeEach
	void readConfiguration() throws Exception {
		this.configuration = ConfigurationFormat.read(Files.readString(Path.of("../examples/pemberton.ini")));
		this.pool = this.configuration.pools().get(new PoolId("reader-voices"));
		this.gate = new PoolGates(DispatchPolicy.STANDARD, TimeSource.system()).gateOf(this.pool);
	}

	@Test
	void unusedEndpointsAreNotReported() {
		assertThat(reports()).isEmpty();
	}

	@Test
	void grantIsReportedUntilAnEmptyReportFollows() {
		grant(1);
		assertThat(reports()).singleElement().extracting(ShareReport::granted).isEqualTo(1);
		grant(0);
		assertThat(reports()).as("the limiter still counts the granted unit").singleElement().satisfies((report) -> {
			assertThat(report.granted()).isZero();
			assertThat(report.inFlight()).isZero();
			assertThat(report.wanted()).isZero();
		});
		assertThat(reports()).isEmpty();
	}

	private List<ShareReport> reports() {
		return this.shares.reports(this.configuration, this.pool, this.gate, (endpoint) -> true,
				new SlotIndex(this.configuration, Set.of()), NOW);
	}

	private void grant(int units) {
		this.shares.updateGrants(
				List.of(new ShareGrant(ENDPOINT, new BootId("boot"), false, units, Duration.ofSeconds(3))), NOW);
	}

}
