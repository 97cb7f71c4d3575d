package io.wagtailmux.testbed.deployment;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

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
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.configuration.ConfigurationStore;
import io.wagtailmux.testbed.standin.StandInPlatform;

/**
 * A platform, endpoints and instances in one process, which talk over real loopback
 * sockets.
 *
 * <p>
 * For example, {@code new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 3,
 * DispatchPolicy.STANDARD)}.
 *
 * @author the wagtailmux developers
 */
public final class LocalDeployment implements AutoCloseable {

	/** The operators' token. */
	public static final String OPERATOR_TOKEN = "operator";

	private static final Duration READY_PATIENCE = Duration.ofSeconds(30);

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

	private final List<Instance> instances = new ArrayList<>();

	private final StandInEndpoints endpoints;

	private final StandInPlatform platform = new StandInPlatform(0);

	/**
	 * Starts a deployment and waits until each instance has the configuration.
	 * @param text the INI text of the configuration
	 * @param instanceCount the number of instances
	 * @param policy how requests wait and endpoints are chosen
	 */
	public LocalDeployment(String text, int instanceCount, DispatchPolicy policy) {
		this.endpoints = new StandInEndpoints(text);
		new ConfigurationStore(Platform.connect(this.platform.addresses(PLATFORM_TIMEOUT)), TimeSource.system())
			.accept(this.endpoints.text(), 0, "deployment");
		List<AvailabilityZoneId> zones = this.endpoints.configuration().zones().keySet().stream().sorted().toList();
		List<InstanceSettings> settings = new ArrayList<>();
		for (int number = 1; number <= instanceCount; number++) {
			settings.add(settings(number, zones.get(number % zones.size()), policy));
		}
		settings.forEach((one) -> this.platform.addInstance(one.id().value(), one.zone().value(), one.peers().port()));
		try {
			settings.forEach((one) -> this.instances.add(Instance.start(one, TimeSource.system())));
			awaitReady();
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns where callers reach the instances.
	 * @return the base addresses
	 */
	public List<URI> callerAddresses() {
		return this.instances.stream()
			.map((instance) -> URI.create("http://127.0.0.1:" + instance.callerPort()))
			.toList();
	}

	/**
	 * Returns the instances.
	 * @return the instances
	 */
	public List<Instance> instances() {
		return List.copyOf(this.instances);
	}

	/**
	 * Returns the stand-ins of the endpoints.
	 * @return the endpoints
	 */
	public StandInEndpoints endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the stand-in of the platform.
	 * @return the platform
	 */
	public StandInPlatform platform() {
		return this.platform;
	}

	@Override
	public void close() {
		this.instances.forEach(Instance::close);
		this.endpoints.close();
		this.platform.close();
	}

	private InstanceSettings settings(int number, AvailabilityZoneId zone, DispatchPolicy policy) {
		ListenAddress any = new ListenAddress("127.0.0.1", FreePorts.next());
		return new InstanceSettings(new InstanceId("entry-" + number), zone, any,
				new ListenAddress("127.0.0.1", FreePorts.next()), new ListenAddress("127.0.0.1", FreePorts.next()),
				TokenDigest.of(OPERATOR_TOKEN), this.platform.addresses(PLATFORM_TIMEOUT), policy,
				CallerLimits.STANDARD, Duration.ofSeconds(1), Duration.ofSeconds(10), LogFormat.TEXT);
	}

	private void awaitReady() {
		for (URI entry : callerAddresses()) {
			Readiness.await(entry, READY_PATIENCE);
		}
	}

}
