package io.wagtailmux.testbed;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.wagtailmux.daemon.caller.TokenDigest;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.testbed.deployment.FreePorts;
import io.wagtailmux.testbed.deployment.Readiness;

/**
 * A {@code wagtailmuxd} process that a test starts, with its settings and log in a
 * folder.
 */
final class DaemonProcess implements AutoCloseable {

	private final String id;

	private final int callerPort = FreePorts.next();

	private final int peerPort = FreePorts.next();

	private final int operatorPort = FreePorts.next();

	private final Path settings;

	private final Path log;

	private Process process;

	DaemonProcess(String id, String zone, PlatformAddresses platform, Path folder) throws IOException {
		this.id = id;
		this.settings = folder.resolve(id + ".ini");
		this.log = folder.resolve(id + ".log");
		Files.writeString(this.settings, """
				[instance]
				id = %s
				availability-zone = %s
				leave-delay = PT1S
				[callers]
				port = %d
				[peers]
				port = %d
				[operators]
				port = %d
				token-sha256 = %s
				[platform]
				table = %s
				objects = %s
				instances = %s
				timeout = PT1S
				""".formatted(id, zone, this.callerPort, this.peerPort, this.operatorPort, TokenDigest.of("operator"),
				platform.table(), platform.objects(), platform.instances()));
	}

	void start() throws IOException {
		this.process = new ProcessBuilder(
				System.getProperty("java.home") + File.separator + "bin" + File.separator + "java", "-Xmx128m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dwagtailmux.log.level=WARN", "-cp",
				System.getProperty("java.class.path"), "io.wagtailmux.daemon.WagtailmuxDaemon", "--settings",
				this.settings.toString())
			.redirectErrorStream(true)
			.redirectOutput(this.log.toFile())
			.start();
	}

	void awaitReady(Duration timeout) throws IOException {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (!Readiness.isReady(callerAddress())) {
			if (!this.process.isAlive() || System.nanoTime() > deadline) {
				throw new IllegalStateException(this.id + " is not ready; its log:\n" + Files.readString(this.log));
			}
			try {
				Thread.sleep(50);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	String id() {
		return this.id;
	}

	int peerPort() {
		return this.peerPort;
	}

	URI callerAddress() {
		return URI.create("http://127.0.0.1:" + this.callerPort);
	}

	URI operatorAddress() {
		return URI.create("http://127.0.0.1:" + this.operatorPort);
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	// Sends SIGTERM. Returns the exit code, or -1 if the process still runs after 30 s.
	int terminate() throws InterruptedException {
		this.process.destroy();
		return this.process.waitFor(30, TimeUnit.SECONDS) ? this.process.exitValue() : -1;
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
