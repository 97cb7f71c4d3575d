package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One instance, started as a process with the command of the deploy file.
 */
final class InstanceProcess implements AutoCloseable {

	final int front = freePort();

	final int ready = freePort();

	private final Path settings;

	private final Path log;

	private Process process;

	InstanceProcess(String name, String zone, int storePort, Path folder, String further) throws IOException {
		int first = freePort();
		int second = freePort();
		this.settings = folder.resolve(name + ".conf");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, """
				nodeName=%s
				zone=%s
				ip=127.0.0.1
				listen.front=127.0.0.1:%d
				listen.ready=127.0.0.1:%d
				internalPorts=%d,%d
				limits.cores=1
				limits.linkMbps=1000.0
				platform.address=127.0.0.1:%d
				bounds.contactMs=3000
				bounds.graceS=8
				bounds.retryBudgetRatio=0.2
				bounds.budgetWindowS=10
				bounds.retryBudgetSlack=52
				bounds.exposureShare=0.1
				bounds.exposureSlack=50
				bounds.coldOverage=1.5
				bounds.coldSlack=5
				%s""".formatted(name, zone, this.front, this.ready, first, second, storePort, further));
	}

	/** Starts the process with the command of the deploy file, in the project's root. */
	void start() throws IOException {
		String line = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((text) -> text.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
		ProcessBuilder builder = new ProcessBuilder(List.of(command.split(" ")));
		builder.environment().put("WAGTAILMUX_SETTINGS", this.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.redirectInput(new File("/dev/null"));
		this.process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.ready), 500);
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			HttpMessage answer = HttpMessage.read(socket.getInputStream());
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady(int seconds) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!isReady()) {
			if (System.nanoTime() > deadline || !alive()) {
				throw new IllegalStateException("instance is not ready, log " + this.log);
			}
			Thread.sleep(50);
		}
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	/** Creates a temporary folder that is removed, with its files, when this program ends. */
	static Path temporaryFolder(String prefix) throws IOException {
		Path folder = Files.createTempDirectory(prefix);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			File[] files = folder.toFile().listFiles();
			for (File file : (files != null) ? files : new File[0]) {
				file.delete();
			}
			folder.toFile().delete();
		}));
		return folder;
	}

	/** Returns a free port below those that the system gives to outgoing connections. */
	static int freePort() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// In use; the next one is tried.
			}
		}
	}

}
