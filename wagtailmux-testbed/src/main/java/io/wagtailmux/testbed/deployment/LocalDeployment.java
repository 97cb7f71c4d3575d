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
 * Instances, stand-ins of their endpoints and a stand-in of the platform, which run in
 * this process and communicate over loopback sockets.
 *
 * <p>
 * For example, {@code new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 3,
 * DispatchPolicy.STANDARD)}.
 *
 * @author the wagtailmux developers
 */
public final class LocalDeployment implements AutoCloseable {

	/** The bearer token that the operator interface of each instance accepts. */
	public static final String OPERATOR_TOKEN = "operator";

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

	private final List<Instance> instances = new ArrayList<>();

	private final StandInEndpoints endpoints;

	private final StandInPlatform platform = new StandInPlatform(0);

	/**
	 * Starts a deployment and waits up to 30 s for each instance to be ready. Everything
	 * that was started is closed again if an instance fails to start.
	 * @param text the INI text of the configuration; the addresses of its endpoints are
	 * replaced by those of the stand-ins
	 * @param instanceCount the number of instances, which are assigned to the
	 * availability zones in rotation
	 * @param policy the choice of endpoints, the order of the waiting queue and the early
	 * refusal of requests
	 * @throws io.wagtailmux.testbed.standin.StandInException if an instance is not ready
	 * in time
	 * @throws io.wagtailmux.store.ini.IniException if the configuration is invalid
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
		settings
			.forEach((each) -> this.platform.addInstance(each.id().value(), each.zone().value(), each.peers().port()));
		try {
			settings.forEach((each) -> this.instances.add(Instance.start(each, TimeSource.system())));
			awaitReady();
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns the base addresses of the caller interfaces.
	 * @return the base addresses, in the order of the instances
	 */
	public List<URI> callerAddresses() {
		return this.instances.stream()
			.map((instance) -> URI.create("http://127.0.0.1:" + instance.callerPort()))
			.toList();
	}

	/**
	 * Returns the running instances.
	 * @return an unmodifiable copy, in the order in which they were started
	 */
	public List<Instance> instances() {
		return List.copyOf(this.instances);
	}

	/**
	 * Returns the stand-ins of the endpoints.
	 * @return the stand-ins, which {@link #close()} closes
	 */
	public StandInEndpoints endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the stand-in of the platform.
	 * @return the stand-in, which {@link #close()} closes
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
		ListenAddress callers = new ListenAddress("127.0.0.1", FreePorts.next());
		return new InstanceSettings(new InstanceId("entry-" + number), zone, callers,
				new ListenAddress("127.0.0.1", FreePorts.next()), new ListenAddress("127.0.0.1", FreePorts.next()),
				TokenDigest.of(OPERATOR_TOKEN), this.platform.addresses(PLATFORM_TIMEOUT), policy,
				CallerLimits.STANDARD, Duration.ofSeconds(1), Duration.ofSeconds(10), LogFormat.TEXT);
	}

	private void awaitReady() {
		for (URI address : callerAddresses()) {
			Readiness.await(address, READY_TIMEOUT);
		}
	}

}
