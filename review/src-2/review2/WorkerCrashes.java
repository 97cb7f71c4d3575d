package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Workers go down and up by turns, many times, under the traffic of many instances. */
final class WorkerCrashes {

	private static final int INSTANCES = 48;

	/** Descriptors of a process, the least number on the users' sheets. */
	private static final int DESCRIPTORS = 2212;

	/** Time in which workers crash, one after the other. */
	private static final long CRASHES_MILLIS = 58_000;

	private static final int WORKERS = 8;

	/** Workers that crash at the same time; 0.125 of all, the site plays up to 0.25. */
	private static final int CRASHING = 1;

	private static final long UP_MILLIS = 100;

	private static final long DOWN_MILLIS = 1000;

	private static final long WORK_MILLIS = 1500;

	private static final int REQUESTERS_PER_INSTANCE = 16;

	private static final long TIMEOUT_MILLIS = 4000;

	private static final long GRACE_MILLIS = 500;

	private static final int RULE_REQUESTS = 8;

	private static final long CALM_MILLIS = 5000;

	/** Instances that get requests in the calm, and requesters at each. */
	private static final int CALM_INSTANCES = 12;

	private static final int CALM_REQUESTERS = 100;

	private final Map<Integer, Worker> workers = new ConcurrentHashMap<>();

	private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

	private final AtomicInteger started = new AtomicInteger();

	private final AtomicInteger crashes = new AtomicInteger();

	private volatile boolean traffic = true;

	boolean run(Path folder, boolean trouble) throws Exception {
		List<Instance> instances = new ArrayList<>();
		try (Store store = new Store()) {
			configure(store);
			for (int index = 0; index < INSTANCES; index++) {
				instances.add(new Instance("front-" + (index + 1), store, folder).descriptors(DESCRIPTORS));
			}
			for (Instance instance : instances) {
				instance.start();
				Thread.sleep(80);
			}
			for (Instance instance : instances) {
				instance.awaitReady();
			}
			Thread.sleep(3000);
			for (Instance instance : instances) {
				for (int requester = 0; requester < REQUESTERS_PER_INSTANCE; requester++) {
					String name = instance.name + "r" + requester;
					Tools.run(name, () -> send(instance, name));
				}
			}
			Thread.sleep(3000);
			Tools.record("descriptors before: " + descriptors(instances));
			long end = System.nanoTime() + CRASHES_MILLIS * 1_000_000;
			for (int next = 0; System.nanoTime() < end; next += CRASHING) {
				if (trouble) {
					crash(store, next);
				}
				else {
					Thread.sleep(UP_MILLIS + DOWN_MILLIS);
				}
				if (next % (CRASHING * 10) == 0) {
					Tools.record("crashes " + this.crashes + ", descriptors " + descriptors(instances) + ", outcomes "
							+ this.outcomes);
				}
			}
			this.traffic = false;
			Thread.sleep(CALM_MILLIS);
			Tools.record("crashes " + this.crashes + ", descriptors in the calm: " + descriptors(instances));
			return checkCalm(instances);
		}
		finally {
			for (Instance instance : instances) {
				instance.close();
			}
		}
	}

	private void configure(Store store) throws IOException {
		store.put("op", "config", """
				{"version": 1, "tenants": [],
				 "routes": [
				  {"name": "read", "host": "a.example", "prefix": "/read/", "kind": "idempotent", "timeoutMs": %d,
				   "targetLatencyMs": 2000, "priority": 1, "service": "desk", "maxAttempts": 2,
				   "allowAnonymous": true}],
				 "services": [{"name": "desk", "healthCheckPath": "/health", "connectionLimit": 4000}],
				 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
				            "idleTimeoutMs": 15000}}
				""".formatted(TIMEOUT_MILLIS));
		for (int index = 0; index < WORKERS; index++) {
			startWorker(store, index);
		}
	}

	private void startWorker(Store store, int index) throws IOException {
		Worker worker = new Worker("i-" + index + "-" + this.started.incrementAndGet(), (head, body, out) -> {
			Thread.sleep(WORK_MILLIS);
			Worker.write(out, 200, head.header("Wagtailmux-Attempt-Id"), "", new byte[100]);
		});
		this.workers.put(index, worker);
		store.put("servers", worker.id, """
				{"service": "desk", "address": "%s", "zone": "zone-a", "version": "v1", "slots": 128,
				 "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": %d}
				""".formatted(worker.address(), System.currentTimeMillis()));
	}

	/** Ends some workers; others start in their place, and the entries of the old ones expire later. */
	private void crash(Store store, int next) throws Exception {
		for (int index = next; index < next + CRASHING; index++) {
			Worker crashed = this.workers.get(index % WORKERS);
			crashed.close();
			this.crashes.incrementAndGet();
			Tools.run("expiry", () -> {
				Thread.sleep(3600);
				store.remove("servers", crashed.id);
			});
		}
		Thread.sleep(DOWN_MILLIS);
		for (int index = next; index < next + CRASHING; index++) {
			startWorker(store, index % WORKERS);
		}
		Thread.sleep(UP_MILLIS);
	}

	private void send(Instance instance, String requester) throws Exception {
		for (int number = 1; this.traffic; number++) {
			try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
				socket.setSoTimeout((int) (TIMEOUT_MILLIS + GRACE_MILLIS));
				BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
				Http.Head head = null;
				do {
					write(socket, requester + "n" + number++);
					head = Http.head(in);
					this.outcomes.merge((head != null) ? head.first() : "closed", 1, Integer::sum);
					if (head != null) {
						Http.body(in, head);
					}
				}
				while (head != null && this.traffic);
			}
			catch (IOException ex) {
				this.outcomes.merge(String.valueOf(ex.getMessage()), 1, Integer::sum);
				Thread.sleep(200);
			}
		}
	}

	/**
	 * Sends requests on new channels while no worker crashes any more.
	 * @return whether eight or more, and more than half of those that are unanswered at
	 * their route's timeout, have no answer half a second later
	 */
	private boolean checkCalm(List<Instance> instances) throws Exception {
		AtomicInteger sent = new AtomicInteger();
		AtomicInteger unansweredAtTimeout = new AtomicInteger();
		AtomicInteger unansweredLater = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		Map<String, Integer> calm = new ConcurrentHashMap<>();
		for (int index = 0; index < CALM_INSTANCES * CALM_REQUESTERS; index++) {
			Instance instance = instances.get(index % CALM_INSTANCES);
			String attempt = "calm" + index;
			sent.incrementAndGet();
			threads.add(Tools.run(attempt, () -> {
				long start = System.nanoTime();
				String outcome;
				try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
					socket.setSoTimeout((int) (TIMEOUT_MILLIS + 2 * GRACE_MILLIS));
					write(socket, attempt);
					try {
						Http.Head head = Http.head(new BufferedInputStream(socket.getInputStream()));
						outcome = (head != null) ? head.first() : "closed";
					}
					catch (IOException ex) {
						outcome = String.valueOf(ex.getMessage());
					}
					long millis = (System.nanoTime() - start) / 1_000_000;
					if (millis > TIMEOUT_MILLIS) {
						unansweredAtTimeout.incrementAndGet();
					}
					if (millis > TIMEOUT_MILLIS + GRACE_MILLIS) {
						unansweredLater.incrementAndGet();
					}
					calm.merge(outcome, 1, Integer::sum);
					Tools.record(attempt + " at " + instance.name + ": " + outcome + " after " + millis + " ms");
					// Requesters keep their channels.
					Thread.sleep(TIMEOUT_MILLIS);
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join(20_000);
		}
		Tools.record("in the calm, on new channels: sent " + sent + ", outcomes " + calm + ", unanswered at the timeout "
				+ unansweredAtTimeout + ", half a second later " + unansweredLater);
		long dead = instances.stream().filter((instance) -> !instance.alive()).count();
		Tools.record("processes that ended by themselves: " + dead);
		for (Instance instance : instances) {
			instance.log().lines().filter((line) -> line.contains("Too many open files")
					|| line.contains("OutOfMemory")).limit(1).forEach((line) -> Tools.record(instance.name + ": " + line));
		}
		int late = unansweredLater.get();
		return late >= RULE_REQUESTS && 2 * late > unansweredAtTimeout.get() || dead > 0;
	}

	private static void write(Socket socket, String attempt) throws IOException {
		socket.getOutputStream()
			.write(("POST /read/a HTTP/1.1\r\nHost: a.example\r\nWagtailmux-Attempt-Id: " + attempt
					+ "\r\nWagtailmux-Deadline-Remaining: 8000\r\nContent-Length: " + attempt.length() + "\r\n\r\n"
					+ attempt)
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static String descriptors(List<Instance> instances) {
		int most = 0;
		long sum = 0;
		for (Instance instance : instances) {
			int open = instance.openDescriptors();
			most = Math.max(most, open);
			sum += open;
		}
		return "mean " + sum / instances.size() + ", most " + most;
	}

}
