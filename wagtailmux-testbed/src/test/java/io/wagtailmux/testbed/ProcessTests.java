package io.wagtailmux.testbed;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.store.configuration.ConfigurationStore;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.Readiness;
import io.wagtailmux.testbed.deployment.StandInEndpoints;
import io.wagtailmux.testbed.experiment.Violations;
import io.wagtailmux.testbed.fault.FaultProxy;
import io.wagtailmux.testbed.fault.LinkFault;
import io.wagtailmux.testbed.load.LoadGenerator;
import io.wagtailmux.testbed.load.LoadPlan;
import io.wagtailmux.testbed.load.LoadReport;
import io.wagtailmux.testbed.load.LoadSource;
import io.wagtailmux.testbed.standin.EndpointCounts;
import io.wagtailmux.testbed.standin.StandInEndpoint;
import io.wagtailmux.testbed.standin.StandInPlatform;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Separate instance processes behind fault-injecting proxies: killed and suspended
 * processes, link faults, store outages and graceful shutdowns under load.
 */
class ProcessTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final CallerClient client = new CallerClient();

	private final List<DaemonProcess> processes = new ArrayList<>();

	private final List<URI> balancedAddresses = new CopyOnWriteArrayList<>();

	private final Map<String, FaultProxy> links = new HashMap<>();

	private StandInPlatform platform;

	private FaultProxy platformLink;

	private StandInEndpoints endpoints;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws IOException {
		this.platform = new StandInPlatform(0);
		this.platformLink = new FaultProxy(this.platform.addresses(TIMEOUT).table(), 1);
		this.endpoints = new StandInEndpoints(ExampleConfiguration.PEMBERTON.text());
		new ConfigurationStore(Platform.connect(this.platform.addresses(Duration.ofSeconds(2))), TimeSource.system())
			.accept(configurationWithProxies(), 0, "test");
		List<String> zones = List.of("perth-a", "perth-b", "bunbury");
		URI proxyAddress = this.platformLink.address();
		PlatformAddresses addresses = new PlatformAddresses(proxyAddress, "wagtailmux", proxyAddress, "wagtailmux",
				proxyAddress.resolve("/instances"), Duration.ofSeconds(1));
		for (int number = 0; number < zones.size(); number++) {
			DaemonProcess process = new DaemonProcess("entry-" + number, zones.get(number), addresses, this.folder);
			this.processes.add(process);
			this.platform.addInstance(process.id(), zones.get(number), process.peerPort());
		}
		for (DaemonProcess process : this.processes) {
			process.start();
		}
		for (DaemonProcess process : this.processes) {
			process.awaitReady(TIMEOUT);
			this.balancedAddresses.add(process.callerAddress());
		}
	}

	@AfterEach
	void stop() {
		this.processes.forEach(DaemonProcess::close);
		this.links.values().forEach(FaultProxy::close);
		this.platformLink.close();
		this.endpoints.close();
		this.platform.close();
	}

	@Test
	void aKilledInstanceFailsOnlyItsOwnRequestsAndRestartsOverloadNoEndpoint() throws InterruptedException {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(14), 40);
		Thread.sleep(3000);
		DaemonProcess killed = this.processes.get(0);
		this.balancedAddresses.remove(killed.callerAddress());
		killed.kill();
		this.platform.removeInstance(killed.id());
		restartSomeEndpoints(8);
		LoadReport report = load.join();
		Map<String, Long> violations = Violations.of(report, this.endpoints);
		// Requests in progress at the killed instance get no response.
		violations.remove("silent requests");
		assertThat(violations).isEmpty();
		assertThat(report.unanswered()).as("requests in progress at the killed instance").isLessThan(20);
	}

	@Test
	void anInstanceSuspendedPastItsLeasesCausesNoViolationWhenResumed() throws Exception {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(20), 40);
		Thread.sleep(3000);
		DaemonProcess suspended = this.processes.get(0);
		this.balancedAddresses.remove(suspended.callerAddress());
		suspended.signal("STOP");
		Thread.sleep(11_000);
		restartSomeEndpoints(2);
		suspended.signal("CONT");
		this.balancedAddresses.add(suspended.callerAddress());
		restartSomeEndpoints(3);
		Map<String, Long> violations = Violations.of(load.join(), this.endpoints);
		// Requests in progress at the suspended instance may get no response.
		violations.remove("silent requests");
		assertThat(violations).isEmpty();
	}

	@Test
	void aGracefulShutdownCutsNoRequest() throws InterruptedException {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(8), 60);
		Thread.sleep(3000);
		DaemonProcess stopping = this.processes.get(1);
		CompletableFuture<Integer> exit = CompletableFuture.supplyAsync(() -> {
			try {
				return stopping.terminate();
			}
			catch (InterruptedException ex) {
				return -1;
			}
		});
		long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (Readiness.isReady(stopping.callerAddress()) && System.nanoTime() < end) {
			Thread.sleep(20);
		}
		this.balancedAddresses.remove(stopping.callerAddress());
		assertThat(exit.join()).isZero();
		LoadReport report = load.join();
		assertThat(Violations.of(report, this.endpoints)).isEmpty();
		assertThat(report.attainment()).isGreaterThan(0.95);
	}

	@ParameterizedTest
	@ValueSource(ints = { 100, 230, 260, 290, 330, 420 })
	void aKeyedRequestRunsAtMostOnceWheneverItsInstanceIsKilled(int milliseconds) throws InterruptedException {
		ClientRequest request = ClientRequest.of("renewal", "token-perth-listeners", "once").withKey("once");
		assertThat(this.client
			.send(this.processes.get(0).callerAddress(),
					ClientRequest.of("renewal", "token-perth-listeners", "warm-up").withKey("warm-up"))
			.answered()).isTrue();
		this.platform.setDelay(Duration.ofMillis(200));
		CompletableFuture<CallerAnswer> first = CompletableFuture
			.supplyAsync(() -> this.client.send(this.processes.get(0).callerAddress(), request));
		Thread.sleep(milliseconds);
		this.processes.get(0).kill();
		first.join();
		this.platform.setDelay(Duration.ZERO);
		for (int attempt = 0; attempt < 4; attempt++) {
			CallerAnswer again = this.client.send(this.processes.get(1 + attempt % 2).callerAddress(), request);
			assertThat(again.answered() || again.code().equals("key-unresolved")).as(again.toString()).isTrue();
		}
		assertThat(executionsOf("once")).isLessThanOrEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource(value = LinkFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void aLinkFaultToOneEndpointIsRoutedAround(LinkFault fault) {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(8), 30);
		sleep(3000);
		this.links.get("reader-voices-1").setFault(fault);
		this.links.get("handset-line-1").setFault(fault);
		LoadReport report = load.join();
		assertThat(Violations.of(report, this.endpoints)).isEmpty();
		assertThat(report.attainment()).as(report.endings().toString()).isGreaterThan(0.9);
	}

	@Test
	void anOutageOfTheStoreNeitherStopsTrafficNorOverloadsAColdEndpoint() {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(24), 40);
		sleep(4000);
		this.platformLink.setFault(LinkFault.BLACK_HOLE);
		sleep(13_000);
		restartSomeEndpoints(2);
		LoadReport report = load.join();
		assertThat(Violations.of(report, this.endpoints)).isEmpty();
		double unkeyed = report.attainment((result) -> !result.source().keyed());
		assertThat(unkeyed).as(report.endings().toString()).isGreaterThan(0.9);
	}

	@Test
	void aZoneTakenOutGetsNoNewWorkAfterThreeSecondsAndNoRequestIsCut() {
		CompletableFuture<LoadReport> load = load(Duration.ofSeconds(9), 40);
		sleep(3000);
		String withoutAlbany = configurationWithProxies().replace("[availability-zone albany]",
				"[availability-zone albany]\nout = true");
		new ConfigurationStore(Platform.connect(this.platform.addresses(Duration.ofSeconds(2))), TimeSource.system())
			.accept(withoutAlbany, 1, "test");
		sleep(3000);
		int startedBefore = startedIn("albany");
		LoadReport report = load.join();
		assertThat(startedIn("albany")).isEqualTo(startedBefore);
		assertThat(startedBefore).isPositive();
		assertThat(Violations.of(report, this.endpoints)).isEmpty();
		assertThat(report.attainment()).as(report.endings().toString()).isGreaterThan(0.95);
	}

	private CompletableFuture<LoadReport> load(Duration duration, double perSecond) {
		Duration timeout = Duration.ofSeconds(4);
		LoadPlan plan = new LoadPlan((long) perSecond, duration,
				List.of(LoadSource.steady("perth-listeners", "edition", perSecond * 0.4, timeout),
						LoadSource.steady("bunbury-herald", "summary", perSecond * 0.4, timeout),
						LoadSource.steady("home-visitors", "renewal", perSecond * 0.2, timeout).withKeys()));
		LoadGenerator generator = new LoadGenerator(() -> this.balancedAddresses);
		return CompletableFuture.supplyAsync(() -> generator.run(plan));
	}

	private void restartSomeEndpoints(int count) {
		List<StandInEndpoint> all = List.copyOf(this.endpoints.all().values());
		for (int number = 0; number < count; number++) {
			all.get(number * 5 % all.size()).restart();
			sleep(500);
		}
	}

	private int startedIn(String zone) {
		return this.endpoints.configuration()
			.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.zone().value().equals(zone))
			.map((endpoint) -> this.endpoints.endpoint(endpoint.id().value()).counts())
			.mapToInt(EndpointCounts::started)
			.sum();
	}

	private long executionsOf(String input) {
		return this.endpoints.pool("subscriber-desk")
			.stream()
			.flatMap((desk) -> desk.counts().executions().entrySet().stream())
			.filter((entry) -> entry.getKey().contains("\"" + input + "\""))
			.mapToLong((entry) -> entry.getValue().size())
			.sum();
	}

	// Returns the configuration in which each endpoint is reached through its own proxy.
	private String configurationWithProxies() {
		Map<EndpointId, URI> addresses = new HashMap<>();
		this.endpoints.all().forEach((id, endpoint) -> {
			FaultProxy link = this.links.computeIfAbsent(id.value(), (name) -> new FaultProxy(endpoint.address(), 7));
			addresses.put(id, link.address());
		});
		return ExampleConfiguration.withAddresses(this.endpoints.text(), addresses);
	}

	private static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
