import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/**
 * Stand-ins for the review cases: the platform's store, workers, requesters and instances of the system as
 * separate processes. Everything listens on the loopback interface. Only the JDK is used.
 */
final class Bed implements AutoCloseable {

	static final String LOOPBACK = "127.0.0.1";

	/** A case that takes longer could not be played. */
	private static final long LONGEST_RUN_MILLIS = 110_000;

	private final long startedAt = System.nanoTime();

	private final PrintWriter record;

	final Path folder;

	final Store store;

	final List<Instance> instances = new CopyOnWriteArrayList<>();

	final List<Closeable> closeables = new CopyOnWriteArrayList<>();

	Bed() throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record", "record.txt"))), true);
		this.folder = Files.createTempDirectory("review");
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
		daemon(() -> {
			sleep(LONGEST_RUN_MILLIS);
			exit(2);
		});
	}

	/** Whether the case runs with its disruption; TROUBLE=0 turns it off. */
	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	synchronized void log(String format, Object... values) {
		this.record.printf(Locale.ROOT, "%9.3f ", (System.nanoTime() - this.startedAt) / 1e9);
		this.record.println(String.format(Locale.ROOT, format, values));
	}

	/** Milliseconds of the steady clock since the start. */
	double now() {
		return (System.nanoTime() - this.startedAt) / 1e6;
	}

	static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void daemon(Runnable action) {
		Thread thread = new Thread(action);
		thread.setDaemon(true);
		thread.start();
	}

	/** Ends the process with the result of the case. */
	void exit(int code) {
		if (code == 2) {
			this.instances.forEach(this::logEnd);
		}
		log("exit %d", code);
		killAll();
		this.record.flush();
		Runtime.getRuntime().halt(code);
	}

	/** Records the last lines that an instance wrote. */
	private void logEnd(Instance instance) {
		try {
			List<String> lines = instance.output().lines().toList();
			lines.subList(Math.max(0, lines.size() - 5), lines.size())
				.forEach((line) -> log("%s, alive %s: %s", instance.name, instance.process.isAlive(), line));
		}
		catch (IOException ex) {
			log("%s: %s", instance.name, ex);
		}
	}

	private void killAll() {
		this.instances.forEach(Instance::kill);
		keepLogs();
		try (var files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException | UncheckedIOException ex) {
			// The folder is temporary.
		}
	}

	/** Copies the logs of the instances to the folder that the property names, if it is set. */
	private void keepLogs() {
		String kept = System.getProperty("logs");
		for (Instance instance : (kept == null) ? List.<Instance>of() : this.instances) {
			try {
				Files.copy(instance.log, Path.of(kept, instance.name + ".log"), StandardCopyOption.REPLACE_EXISTING);
			}
			catch (IOException ex) {
				// Copied already, or nothing was written.
			}
		}
	}

	@Override
	public void close() {
		killAll();
	}

	private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

	/** Returns a new port that is free and isn't given to outgoing channels, which begin at 32768 on Linux. */
	static int freePort() throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
			if (!GIVEN_PORTS.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(LOOPBACK, port));
				return port;
			}
			catch (BindException ex) {
				// Taken; another one is tried.
			}
		}
	}

	/** Starts an instance and returns it; it is not ready yet. */
	Instance startInstance(String name, String zone, int storePort) throws IOException {
		Instance instance = new Instance(name, zone, storePort);
		this.instances.add(instance);
		instance.start();
		return instance;
	}

	boolean await(String what, long milliseconds, BooleanSupplier condition) {
		double until = now() + milliseconds;
		while (!condition.getAsBoolean()) {
			if (now() > until) {
				log("not reached: %s", what);
				return false;
			}
			sleep(20);
		}
		return true;
	}

	/** One process of the system, started with the command of the deploy file. */
	final class Instance {

		final String name;

		final int front;

		final int ready;

		final int peer;

		final int metrics;

		private final Path settings;

		private final Path log;

		Process process;

		Instance(String name, String zone, int storePort) throws IOException {
			this.name = name;
			this.front = freePort();
			this.ready = freePort();
			this.peer = freePort();
			this.metrics = freePort();
			this.settings = Bed.this.folder.resolve(name + ".conf");
			this.log = Bed.this.folder.resolve(name + ".log");
			Files.writeString(this.settings, String.join("\n", "nodeName=" + name, "role=instance", "machineClass=front",
					"serves=front", "ip=" + LOOPBACK, "zone=" + zone, "region=wa-south", "zones.zone-a=wa-south",
					"zones.zone-b=wa-south", "listen.front=" + LOOPBACK + ":" + this.front,
					"listen.ready=" + LOOPBACK + ":" + this.ready, "internalPorts=" + this.peer + "," + this.metrics,
					"seeds=", "firstStart=true", "countInTolerance=false", "limits.cpuShare=0.75", "limits.cores=1",
					"limits.memoryMb=430", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
					"discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
					"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout,platform,stages",
					"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seedLagS=3",
					"bounds.addressReuseS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
					"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
					"bounds.downgradeSlackMs=250", "bounds.outerBoundMs=5000", "bounds.strictRevocation=false",
					"bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
					"bounds.retryBudgetSlack=52", "bounds.exposureShare=0.1", "bounds.exposureSlack=50",
					"bounds.rollbackMs=5000", "bounds.coldOverage=1.5", "bounds.coldSlack=5",
					"bounds.evacuationMs=5000", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.reuseWindowS=8.1",
					"platform.address=" + LOOPBACK + ":" + storePort, "platform.form=table",
					"platform.writesPerS=400", "platform.readsPerS=2000", "platform.transactionMs=5.0",
					"platform.partWritesPerS=200", "platform.rowBytes=65536", "platform.across=false",
					"platform.historyS=20", "platform.blobBytes=8388608", "platform.blobMs=25.0",
					"platform.blobMbPerS=80.0", ""));
		}

		void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(runCommand()).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			builder.environment().put("WAGTAILMUX_SETTINGS", this.settings.toString());
			this.process = builder.start();
			log("instance %s started, pid %d, front %d", this.name, this.process.pid(), this.front);
		}

		boolean isReady() {
			try {
				return Http.call(this.ready, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000)
					.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void signal(String name) {
			try {
				log("signal %s to %s", name, this.name);
				new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

		String output() throws IOException {
			return Files.readString(this.log);
		}

		String metricsText() throws IOException {
			return Http.call(this.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 2000).body();
		}

		void kill() {
			if (this.process != null && this.process.isAlive()) {
				this.process.destroyForcibly();
			}
		}

	}

	/** The words of the run command in the deploy file. */
	static List<String> runCommand() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				return List.of(text.split(" "));
			}
		}
		throw new IOException("no run command");
	}

	/** Reading and writing of HTTP/1.1 messages. */
	static final class Http {

		record Message(String start, Map<String, String> headers, byte[] bytes, boolean complete) {

			int status() {
				String[] words = this.start.split(" ");
				return (words.length > 1) ? Integer.parseInt(words[1]) : 0;
			}

			String header(String name) {
				return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
			}

			String body() {
				return new String(this.bytes, StandardCharsets.UTF_8);
			}

		}

		static Message call(int port, String request, int timeoutMillis) throws IOException {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
				socket.setSoTimeout(timeoutMillis);
				socket.setTcpNoDelay(true);
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				return read(socket.getInputStream(), true);
			}
		}

		/** Returns the head, the headers and the body; null at the end of the channel. */
		static Message read(InputStream input, boolean response) throws IOException {
			String start = line(input);
			if (start == null) {
				return null;
			}
			Map<String, String> headers = new LinkedHashMap<>();
			String line = line(input);
			while (line != null && !line.isEmpty()) {
				int colon = line.indexOf(':');
				headers.merge(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim(),
						(first, second) -> first + "," + second);
				line = line(input);
			}
			if (line == null) {
				return new Message(start, headers, new byte[0], false);
			}
			return body(input, response, start, headers);
		}

		private static Message body(InputStream input, boolean response, String start, Map<String, String> headers)
				throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
				while (true) {
					String size = line(input);
					if (size == null) {
						return new Message(start, headers, bytes.toByteArray(), false);
					}
					int length = Integer.parseInt(size.trim(), 16);
					byte[] chunk = input.readNBytes(length);
					bytes.writeBytes(chunk);
					if (chunk.length < length || line(input) == null) {
						return new Message(start, headers, bytes.toByteArray(), false);
					}
					if (length == 0) {
						return new Message(start, headers, bytes.toByteArray(), true);
					}
				}
			}
			if (headers.containsKey("content-length")) {
				int length = Integer.parseInt(headers.get("content-length"));
				byte[] body = input.readNBytes(length);
				return new Message(start, headers, body, body.length == length);
			}
			return new Message(start, headers, response ? input.readAllBytes() : new byte[0], true);
		}

		static String line(InputStream input) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			int next = input.read();
			while (next != '\n') {
				if (next < 0) {
					return null;
				}
				bytes.write(next);
				next = input.read();
			}
			String text = bytes.toString(StandardCharsets.ISO_8859_1);
			return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
		}

	}

	/** Serves connections, one thread each. */
	static class Server implements Closeable {

		final ServerSocket listener;

		final Set<Socket> open = ConcurrentHashMap.newKeySet();

		Server(int port, Consumer<Socket> handler) throws IOException {
			this.listener = new ServerSocket();
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(LOOPBACK, (port == 0) ? freePort() : port), 512);
			daemon(() -> {
				while (!this.listener.isClosed()) {
					try {
						Socket socket = this.listener.accept();
						socket.setTcpNoDelay(true);
						this.open.add(socket);
						daemon(() -> {
							try (socket) {
								handler.accept(socket);
							}
							catch (IOException | RuntimeException ex) {
								// The channel ends.
							}
							finally {
								this.open.remove(socket);
							}
						});
					}
					catch (IOException ex) {
						return;
					}
				}
			});
		}

		int port() {
			return this.listener.getLocalPort();
		}

		/** Stops listening and resets all channels, as the end of a process does. */
		@Override
		public void close() throws IOException {
			this.listener.close();
			for (Socket socket : this.open) {
				try {
					socket.setSoLinger(true, 0);
				}
				catch (SocketException ex) {
					// Closed already.
				}
				socket.close();
			}
		}

	}

	/** Passes bytes between one instance and one worker, and can cut the two off from each other. */
	static final class Proxy {

		private final int target;

		private final int port;

		private volatile Server server;

		Proxy(int target) throws IOException {
			this.target = target;
			this.server = new Server(0, this::serve);
			this.port = this.server.port();
		}

		int port() {
			return this.port;
		}

		/** Resets all channels and refuses new ones. */
		void cut() throws IOException {
			this.server.close();
		}

		void heal() throws IOException {
			this.server = new Server(this.port, this::serve);
		}

		private void serve(Socket near) {
			try (Socket far = new Socket(LOOPBACK, this.target)) {
				far.setTcpNoDelay(true);
				Thread back = new Thread(() -> copy(far, near));
				back.setDaemon(true);
				back.start();
				copy(near, far);
				back.join();
			}
			catch (IOException | InterruptedException ex) {
				reset(near);
			}
		}

		private static void copy(Socket from, Socket to) {
			byte[] buffer = new byte[16_384];
			try {
				int count = from.getInputStream().read(buffer);
				while (count >= 0) {
					to.getOutputStream().write(buffer, 0, count);
					count = from.getInputStream().read(buffer);
				}
				to.shutdownOutput();
			}
			catch (IOException ex) {
				reset(from);
				reset(to);
			}
		}

		private static void reset(Socket socket) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

	static void write(Socket socket, String head, byte[] body) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
		bytes.writeBytes(body);
		socket.getOutputStream().write(bytes.toByteArray());
		socket.getOutputStream().flush();
	}

	/** The platform's store: rows only. */
	final class Store {

		private record Row(String table, String key, String value, long version, boolean deleted) {
		}

		private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

		private final List<Row> history = new ArrayList<>();

		private long version = 1;

		private long historyStart = 1;

		private long era = 1;

		final Server server;

		/** Instances whose first read of the table of instances is still awaited. */
		private CountDownLatch firstReads = new CountDownLatch(0);

		/**
		 * Answers the first read of the table of instances of so many instances at the same time, before any of them
		 * has written its row. So each starts from its own view of the store and none from the tables of another.
		 */
		void startTogether(int count) {
			this.firstReads = new CountDownLatch(count);
		}

		/** Called with path and query before an answer is made; may wait. */
		volatile Consumer<String> before = (call) -> {
		};

		Store() throws IOException {
			this.server = new Server(0, (socket) -> serve(socket, (entry) -> entry));
		}

		/** Opens a further port, at which the entries of workers are shown as the function returns them. */
		int portShowing(UnaryOperator<String> entries) throws IOException {
			return new Server(0, (socket) -> serve(socket, entries)).port();
		}

		int port() {
			return this.server.port();
		}

		/** Writes a row as the operator or a worker does, and returns its version. */
		synchronized long put(String table, String key, String json) {
			return apply(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false,
					++this.version);
		}

		synchronized long remove(String table, String key) {
			return apply(table, key, "", true, ++this.version);
		}

		synchronized String get(String table, String key) {
			Row row = this.tables.getOrDefault(table, new TreeMap<>()).get(key);
			return (row == null) ? null : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
		}

		/** Drops the history, so that feeds from an earlier version get 410. */
		synchronized void compact() {
			this.history.clear();
			this.historyStart = this.version;
			notifyAll();
		}

		private long apply(String table, String key, String value, boolean deleted, long number) {
			TreeMap<String, Row> rows = this.tables.computeIfAbsent(table, (ignored) -> new TreeMap<>());
			Row row = new Row(table, key, value, number, deleted);
			if (deleted) {
				rows.remove(key);
			}
			else {
				rows.put(key, row);
			}
			this.history.add(row);
			notifyAll();
			return number;
		}

		private void serve(Socket socket, UnaryOperator<String> entries) {
			try {
				InputStream input = new BufferedInputStream(socket.getInputStream());
				Http.Message request = Http.read(input, false);
				while (request != null) {
					String[] words = request.start().split(" ");
					try {
						this.before.accept(words[1]);
						answer(socket, words[1], request, entries);
					}
					catch (Refused ex) {
						write(socket, "HTTP/1.1 " + ex.status + " X\r\nStore-Era: " + this.era + "\r\n", new byte[0]);
					}
					request = Http.read(input, false);
				}
			}
			catch (IOException ex) {
				// The channel ends.
			}
		}

		private void answer(Socket socket, String target, Http.Message request, UnaryOperator<String> entries)
				throws IOException {
			URI uri = URI.create(target);
			Map<String, String> query = query(uri.getRawQuery());
			int status = 200;
			String body;
			if (this.firstReads.getCount() > 0 && target.contains("rows-get") && "instances".equals(query.get("table"))) {
				body = body(List.of(), false, entries);
				awaitFirstReads();
			}
			else if (uri.getPath().equals("/v1/rows-get")) {
				body = get(query, entries);
			}
			else if (uri.getPath().equals("/v1/rows-feed")) {
				body = feed(query, entries);
				status = (body == null) ? 410 : 200;
			}
			else if (uri.getPath().equals("/v1/rows-tx")) {
				String[] result = transaction(request.body());
				status = Integer.parseInt(result[0]);
				body = result[1];
			}
			else {
				status = 404;
				body = "{}";
			}
			write(socket, "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nStore-Era: " + this.era + "\r\n",
					((body == null) ? "{}" : body).getBytes(StandardCharsets.UTF_8));
		}

		private void awaitFirstReads() {
			this.firstReads.countDown();
			try {
				this.firstReads.await(1500, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

		private synchronized String get(Map<String, String> query, UnaryOperator<String> entries) {
			String from = query.getOrDefault("from", "");
			int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
			List<Row> rows = new ArrayList<>(
					this.tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from, true).values());
			boolean more = rows.size() > limit;
			return body(rows.subList(0, Math.min(limit, rows.size())), more, entries);
		}

		private synchronized String feed(Map<String, String> query, UnaryOperator<String> entries) {
			long after = Long.parseLong(query.get("after"));
			long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
			while (true) {
				if (after < this.historyStart && after != this.version) {
					return null;
				}
				List<Row> rows = this.history.stream()
					.filter((row) -> row.version() > after && row.table().equals(query.get("table")))
					.toList();
				long left = (until - System.nanoTime()) / 1_000_000;
				if (!rows.isEmpty() || left <= 0) {
					return body(rows, false, entries);
				}
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					return null;
				}
			}
		}

		private String body(List<Row> rows, boolean more, UnaryOperator<String> entries) {
			StringBuilder text = new StringBuilder("{\"rows\":[");
			String separator = "";
			for (Row row : rows) {
				text.append(separator).append("{\"table\":\"").append(row.table()).append("\",\"part\":\"\",\"key\":\"")
					.append(row.key()).append("\",\"rowVersion\":").append(row.version());
				text.append(row.deleted() ? ",\"deleted\":true}" : ",\"value\":\"" + shown(row, entries) + "\"}");
				separator = ",";
			}
			return text.append("],\"rowVersion\":").append(this.version).append(",\"nowMs\":")
				.append(System.nanoTime() / 1_000_000).append(",\"hasMore\":").append(more).append("}").toString();
		}

		private String shown(Row row, UnaryOperator<String> entries) {
			if (!row.table().equals("servers")) {
				return row.value();
			}
			String entry = new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
			return Base64.getEncoder().encodeToString(entries.apply(entry).getBytes(StandardCharsets.UTF_8));
		}

		/** Reads the one form of transaction that an instance sends: one condition and one write or removal. */
		private synchronized String[] transaction(String json) {
			String condition = part(json, "\"expectedRevision\":[");
			String writes = part(json, "\"writes\":[");
			String removals = part(json, "\"removals\":[");
			String table = field(condition, "table");
			String key = field(condition, "key");
			long expected = Long.parseLong(field(condition, "rowVersion"));
			Row present = this.tables.getOrDefault(table, new TreeMap<>()).get(key);
			if (((present == null) ? 0 : present.version()) != expected) {
				return new String[] { "412", body((present == null) ? List.of() : List.of(present), false, (entry) -> entry) };
			}
			boolean deleted = writes.isEmpty() && !removals.isEmpty();
			apply(table, key, deleted ? "" : field(writes, "value"), deleted, ++this.version);
			return new String[] { "200", body(List.of(), false, (entry) -> entry) };
		}

		private static String part(String json, String name) {
			int start = json.indexOf(name) + name.length();
			return json.substring(start, json.indexOf(']', start));
		}

		private static String field(String json, String name) {
			int start = json.indexOf("\"" + name + "\":") + name.length() + 3;
			int end = start;
			while (end < json.length() && json.charAt(end) != ',' && json.charAt(end) != '}') {
				end++;
			}
			String value = json.substring(start, end);
			return value.startsWith("\"") ? value.substring(1, value.length() - 1).replace("\\u003d", "=") : value;
		}

	}

	/** The store refuses a call: nothing was done. */
	static final class Refused extends RuntimeException {

		final int status;

		Refused(int status) {
			this.status = status;
		}

	}

	static Map<String, String> query(String text) {
		Map<String, String> values = new HashMap<>();
		for (String pair : (text == null) ? new String[0] : text.split("&")) {
			String[] parts = pair.split("=", 2);
			values.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
		}
		return values;
	}

	/** What a worker does with a request that it runs. */
	interface Work {

		void run(Worker worker, Socket socket, Http.Message request) throws Exception;

	}

	/** A worker of one service. */
	final class Worker {

		final String id;

		final String service;

		final String zone;

		final int slots;

		private final Work work;

		Server server;

		volatile long born = System.currentTimeMillis();

		/** Milliseconds at which requests reached the worker, with their attempt ids. */
		final Map<String, Double> reached = new ConcurrentHashMap<>();

		final String version;

		Worker(String id, String service, String zone, int slots, Work work) throws IOException {
			this(id, service, zone, slots, "v1", work);
		}

		Worker(String id, String service, String zone, int slots, String version, Work work) throws IOException {
			this.version = version;
			this.id = id;
			this.service = service;
			this.zone = zone;
			this.slots = slots;
			this.work = work;
			this.server = new Server(0, this::serve);
			register("ready", 0);
		}

		int port() {
			return this.server.port();
		}

		long register(String state, long coldMillis) {
			return Bed.this.store.put("servers", this.id, String.format(Locale.ROOT,
					"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
							+ "\"state\":\"%s\",\"coldRemainingMs\":%d,\"sequence\":1,\"born\":%d}",
					this.service, LOOPBACK, port(), this.zone, this.version, this.slots, state, coldMillis, this.born));
		}

		/** Ends the process of the worker. */
		void crash() throws IOException {
			this.server.close();
		}

		/** Starts the worker again at its address and under its id; it does not register yet. */
		void listenAgain(int port) throws IOException {
			this.born = System.currentTimeMillis();
			this.server = new Server(port, this::serve);
		}

		private void serve(Socket socket) {
			try {
				InputStream input = new BufferedInputStream(socket.getInputStream());
				Http.Message request = Http.read(input, false);
				while (request != null && request.complete()) {
					String attempt = request.header("Wagtailmux-Attempt-Id");
					String expected = request.header("Wagtailmux-Expected-Instance");
					if (!expected.isEmpty() && !expected.equals(this.id)) {
						reject(socket, attempt, 421, "");
					}
					else {
						this.reached.put(attempt, now());
						this.work.run(this, socket, request);
					}
					request = Http.read(input, false);
				}
			}
			catch (Exception ex) {
				// The channel ends.
			}
		}

		void reject(Socket socket, String attempt, int status, String headers) throws IOException {
			write(socket, "HTTP/1.1 " + status + " X\r\nWagtailmux-Attempt-Id: " + attempt
					+ "\r\nWagtailmux-Not-Executed: 1\r\n" + headers, new byte[0]);
		}

		void answer(Socket socket, String attempt, int status, String headers, byte[] body) throws IOException {
			write(socket, "HTTP/1.1 " + status + " X\r\nWagtailmux-Attempt-Id: " + attempt
					+ "\r\nWagtailmux-Response-Signature: s." + attempt + "\r\n" + headers, body);
		}

	}

	static String request(String method, String path, String attempt, int remainingMillis, String headers, int length) {
		return method + " " + path + " HTTP/1.1\r\nHost: pipelines.example\r\nWagtailmux-Attempt-Id: " + attempt
				+ "\r\nWagtailmux-Deadline-Remaining: " + remainingMillis + "\r\nX-Api-Key: key-1\r\n" + headers
				+ (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

}
