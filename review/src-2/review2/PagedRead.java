package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers of a large service are taken away while the killed instances start again. The
 * table of the workers takes more than one read.
 */
final class PagedRead {

	private static final int WORKERS = 600;

	/** The largest dose in the standard days of the site. */
	private static final double LEAVING_SHARE = 0.25;

	private static final long HEARTBEAT_MILLIS = 1200;

	private static final long DRAIN_MILLIS = 2000;

	/** Time for which a worker serves on after it said that it is draining. */
	private static final long SERVING_MILLIS = 9000;

	private static final long CONTACT_MILLIS = 3000;

	private static final int INSTANCES = 4;

	private static final int REQUESTERS = 200;

	private static final long PAUSE_MILLIS = 100;

	private static final long WORK_MILLIS = 300;

	private final Map<String, Worker> workers = new TreeMap<>();

	/** When the store accepted that a worker drains. */
	private final Map<String, Long> drainingAt = new ConcurrentHashMap<>();

	private final Map<String, Integer> lateRequests = new ConcurrentHashMap<>();

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger sent = new AtomicInteger();

	private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

	private final Map<String, String> workerOf = new ConcurrentHashMap<>();

	private final AtomicInteger cut = new AtomicInteger();

	private volatile long inTouchFrom = Long.MAX_VALUE;

	boolean run(Path folder, boolean trouble) throws Exception {
		try (Store store = new Store()) {
			store.put("op", "config", """
					{"version": 1, "tenants": [],
					 "routes": [
					  {"name": "once", "host": "a.example", "prefix": "/once/", "kind": "non_idempotent",
					   "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1, "service": "desk", "maxAttempts": 2,
					   "allowAnonymous": true}],
					 "services": [{"name": "desk", "healthCheckPath": "/health", "connectionLimit": 500}],
					 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
					            "idleTimeoutMs": 15000}}
					""");
			for (int index = 0; index < WORKERS; index++) {
				String id = "i-%03d".formatted(index);
				Worker worker = new Worker(id, (head, body, out) -> serve(id, head, out));
				this.workers.put(id, worker);
				register(store, worker, "ready");
			}
			return play(store, folder, trouble);
		}
	}

	private boolean play(Store store, Path folder, boolean trouble) throws Exception {
		List<Instance> instances = new ArrayList<>();
		try {
			for (int number = 1; number <= INSTANCES; number++) {
				instances.add(new Instance("front-" + number, store, folder));
			}
			return play(store, instances, trouble);
		}
		finally {
			for (Instance instance : instances) {
				instance.close();
			}
		}
	}

	private static void start(List<Instance> instances) throws Exception {
		for (Instance instance : instances) {
			instance.start();
		}
	}

	private static void awaitReady(List<Instance> instances) throws Exception {
		for (Instance instance : instances) {
			instance.awaitReady();
		}
	}

	private boolean play(Store store, List<Instance> instances, boolean trouble) throws Exception {
		start(instances);
		awaitReady(instances);
		Thread.sleep(1000);
		if (trouble) {
			for (Instance instance : instances) {
				instance.signal("KILL");
			}
			Thread.sleep(500);
			store.onNextRead(() -> Tools.run("scale-in", () -> scaleIn(store)));
			start(instances);
		}
		else {
			scaleIn(store);
		}
		long started = System.nanoTime();
		awaitReady(instances);
		this.inTouchFrom = trouble ? started + CONTACT_MILLIS * 1_000_000 : started;
		long end = started + (SERVING_MILLIS + 2000) * 1_000_000;
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < REQUESTERS; index++) {
			String requester = "r" + index;
			Instance instance = instances.get(index % INSTANCES);
			threads.add(Tools.run(requester, () -> send(instance, requester, end)));
		}
		for (Thread thread : threads) {
			thread.join(30_000);
		}
		Tools.record("requests " + this.sent + ", outcomes " + this.outcomes);
		Tools.record("requests cut off when their worker left: " + this.cut);
		Tools.record("requests at workers later than " + DRAIN_MILLIS + " ms after the store accepted that they"
				+ " drain: " + this.late + ", by worker " + new TreeMap<>(this.lateRequests));
		return this.late.get() > 0;
	}

	private void serve(String id, Http.Head head, OutputStream out) throws Exception {
		this.workerOf.put(head.header("Wagtailmux-Attempt-Id"), id);
		Long draining = this.drainingAt.get(id);
		long now = System.nanoTime();
		if (draining != null && now - draining > DRAIN_MILLIS * 1_000_000 && now > this.inTouchFrom) {
			this.late.incrementAndGet();
			this.lateRequests.merge(id, 1, Integer::sum);
			Tools.record(head.header("Wagtailmux-Attempt-Id") + " reached " + id + " "
					+ (now - draining) / 1_000_000 + " ms after the store accepted that it drains");
		}
		Thread.sleep(WORK_MILLIS);
		Worker.write(out, 200, head.header("Wagtailmux-Attempt-Id"), "", new byte[800]);
	}

	/** Each leaving worker says so with its next heartbeat, and leaves later. */
	private void scaleIn(Store store) {
		List<String> ids = new ArrayList<>(this.workers.keySet());
		Collections.shuffle(ids, new Random(7));
		Random random = new Random(8);
		for (String id : ids.subList(0, (int) (WORKERS * LEAVING_SHARE))) {
			long heartbeat = random.nextLong(HEARTBEAT_MILLIS);
			Tools.run("leaving worker", () -> {
				Thread.sleep(heartbeat);
				register(store, this.workers.get(id), "draining");
				this.drainingAt.put(id, System.nanoTime());
				Thread.sleep(SERVING_MILLIS);
				store.remove("servers", id);
				this.workers.get(id).close();
			});
		}
		Tools.record("workers begin to leave: " + (int) (WORKERS * LEAVING_SHARE) + " of " + WORKERS);
	}

	private static void register(Store store, Worker worker, String state) {
		store.put("servers", worker.id, """
				{"service": "desk", "address": "%s", "zone": "zone-a", "version": "v1", "slots": 6, "state": "%s",
				 "coldRemainingMs": 0, "sequence": 1, "born": 1}
				""".formatted(worker.address(), state));
	}

	private void send(Instance instance, String requester, long end) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (int number = 1; System.nanoTime() < end; number++) {
				String attempt = requester + "n" + number;
				this.sent.incrementAndGet();
				socket.getOutputStream()
					.write(("POST /once/a HTTP/1.1\r\nHost: a.example\r\nWagtailmux-Attempt-Id: " + attempt
							+ "\r\nWagtailmux-Deadline-Remaining: 1500\r\nContent-Length: 4\r\n\r\nbody")
						.getBytes(StandardCharsets.ISO_8859_1));
				Http.Head head = Http.head(in);
				if (head == null) {
					throw new IOException("closed without an answer");
				}
				Http.body(in, head);
				if (head.status() == 502 && this.drainingAt.containsKey(this.workerOf.getOrDefault(attempt, ""))) {
					this.cut.incrementAndGet();
					Tools.record(attempt + " was cut off when " + this.workerOf.get(attempt) + " left: " + head.first());
				}
				this.outcomes.merge(head.first(), 1, Integer::sum);
				Thread.sleep(PAUSE_MILLIS);
			}
		}
	}

}
