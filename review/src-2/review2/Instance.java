package review2;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An instance of the system, started as a process with the run command of the deploy file. */
final class Instance implements AutoCloseable {

	private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

	final String name;

	final int frontPort;

	private final int readyPort;

	private final Path settings;

	private final Path log;

	private Process process;

	private int descriptors;

	Instance(String name, Store store, Path folder) throws IOException {
		List<Integer> ports = Tools.freePorts(4);
		this.name = name;
		this.frontPort = ports.get(0);
		this.readyPort = ports.get(1);
		this.settings = folder.resolve(name + ".conf");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, """
				nodeName=%s
				role=instance
				machineClass=front
				serves=front
				ip=127.0.0.1
				zone=zone-a
				region=north
				listen.front=127.0.0.1:%d
				listen.ready=127.0.0.1:%d
				internalPorts=%d,%d
				limits.cpuShare=0.75
				limits.cores=1
				limits.memoryMb=430
				limits.fileDescriptors=4100
				limits.linkMbps=1000.0
				heartbeatMs=1200
				bounds.contactMs=3000
				bounds.drainMs=2000
				bounds.graceS=8
				bounds.lossSlackMs=200
				bounds.configApplyMs=2000
				bounds.retryBudgetRatio=0.2
				bounds.budgetWindowS=10
				bounds.retryBudgetSlack=52
				bounds.coldOverage=1.5
				bounds.coldSlack=5
				platform.address=127.0.0.1:%d
				platform.form=table
				""".formatted(name, this.frontPort, this.readyPort, ports.get(2), ports.get(3), store.port()));
	}

	/** Gives the process as many descriptors as its machine has; without it there is no such limit. */
	Instance descriptors(int number) {
		this.descriptors = number;
		return this;
	}

	/** Returns the number of open descriptors; zero if the process has ended. */
	int openDescriptors() {
		String[] names = new File("/proc/" + this.process.pid() + "/fd").list();
		return (names != null) ? names.length : 0;
	}

	void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("no run command in the deploy file");
		}
		List<String> command = new ArrayList<>();
		if (this.descriptors > 0) {
			command.addAll(List.of("bash", "-c", "ulimit -n " + this.descriptors + " && exec \"$@\"", "bash"));
		}
		command.addAll(List.of(run.group(1).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.directory(new File("."));
		builder.environment().put("WAGTAILMUX_SETTINGS", this.settings.toString());
		this.process = builder.start();
		STARTED.add(this.process);
		Tools.record("started " + this.name);
	}

	/** Ends all processes, also when this program is ended from outside. */
	static void endAll() {
		STARTED.forEach(Process::destroyForcibly);
	}

	void signal(String signal) throws Exception {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		Tools.record("sent SIG" + signal + " to " + this.name);
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitStatus() {
		return this.process.exitValue();
	}

	boolean ready() {
		try (Socket socket = new Socket("127.0.0.1", this.readyPort)) {
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			Http.Head head = Http.head(new BufferedInputStream(socket.getInputStream()));
			return head != null && head.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Waits up to 30 seconds until the instance is ready. */
	void awaitReady() throws Exception {
		long until = System.nanoTime() + 30_000_000_000L;
		while (!ready()) {
			if (System.nanoTime() > until || !alive()) {
				throw new IOException(this.name + " did not get ready");
			}
			Thread.sleep(50);
		}
		Tools.record("ready " + this.name);
	}

	String log() throws IOException {
		return Files.readString(this.log);
	}

	@Override
	public void close() throws Exception {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor();
		}
	}

}
