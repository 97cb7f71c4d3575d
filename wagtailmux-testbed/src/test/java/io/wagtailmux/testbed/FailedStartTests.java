package io.wagtailmux.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.daemon.DaemonException;
import io.wagtailmux.daemon.Instance;
import io.wagtailmux.daemon.caller.TokenDigest;
import io.wagtailmux.daemon.settings.CallerLimits;
import io.wagtailmux.daemon.settings.InstanceSettings;
import io.wagtailmux.daemon.settings.ListenAddress;
import io.wagtailmux.daemon.settings.LogFormat;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.PeerException;
import io.wagtailmux.testbed.deployment.FreePorts;
import io.wagtailmux.testbed.standin.StandInPlatform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * An instance that fails to start stops the threads it has started, which would otherwise
 * keep its process running.
 */
class FailedStartTests {

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

	private static final Set<String> THREADS = Set.of("control", "platform-calls", "peer-server");

	@ParameterizedTest
	@EnumSource
	@Timeout(value = 60, unit = TimeUnit.SECONDS)
	void anInstanceWhosePortIsInUseLeavesNoThread(PortInUse inUse) throws IOException, InterruptedException {
		try (StandInPlatform platform = new StandInPlatform(0);
				ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Set<Thread> before = threads();
			InstanceSettings settings = settings(platform, inUse, other.getLocalPort());
			assertThatThrownBy(() -> Instance.start(settings, TimeSource.system()))
				.isInstanceOfAny(DaemonException.class, PeerException.class);
			while (!before.containsAll(threads())) {
				TimeUnit.MILLISECONDS.sleep(10);
			}
			assertThat(before).containsAll(threads());
		}
	}

	private static Set<Thread> threads() {
		return Thread.getAllStackTraces()
			.keySet()
			.stream()
			.filter((thread) -> THREADS.contains(thread.getName()))
			.collect(Collectors.toSet());
	}

	private static InstanceSettings settings(StandInPlatform platform, PortInUse inUse, int port) {
		return new InstanceSettings(new InstanceId("entry-1"), new AvailabilityZoneId("zone-a"),
				inUse.address(PortInUse.CALLERS, port), inUse.address(PortInUse.PEERS, port),
				inUse.address(PortInUse.OPERATORS, port), TokenDigest.of("operator"),
				platform.addresses(PLATFORM_TIMEOUT), DispatchPolicy.STANDARD, CallerLimits.STANDARD,
				Duration.ofSeconds(1), Duration.ofSeconds(10), LogFormat.TEXT);
	}

	/** The port of the instance that is already in use. */
	enum PortInUse {

		CALLERS, OPERATORS, PEERS;

		ListenAddress address(PortInUse listener, int usedPort) {
			return new ListenAddress("127.0.0.1", (this == listener) ? usedPort : FreePorts.next());
		}

	}

}
