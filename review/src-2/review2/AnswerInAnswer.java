package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some workers send some answers without a length, and some answers a second time, late,
 * on the channel of the first.
 */
final class AnswerInAnswer {

	private static final int WORKERS = 4;

	/** Half of the workers; the site plays up to 0.6. */
	private static final int FAULTY_WORKERS = 2;

	/** Part of the answers without a length; the largest dose of the site. */
	private static final double UNFRAMED = 0.05;

	/** Part of the answers that are sent a second time; the largest dose of the site. */
	private static final double TWICE = 0.03;

	private static final long FAULT_MILLIS = 5000;

	private static final long CALM_MILLIS = 2000;

	private static final int FAULTS = 4;

	private static final int REQUESTERS = 24;

	private static final int BODY_BYTES = 800;

	private static final long WORK_MILLIS = 10;

	private static final long LATE_MILLIS = 3;

	private final Random random = new Random(11);

	/** Late second answers, by the channel on which they will be sent. */
	private final Map<OutputStream, byte[]> second = new ConcurrentHashMap<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger unframed = new AtomicInteger();

	private final AtomicInteger sentTwice = new AtomicInteger();

	private final AtomicInteger mixed = new AtomicInteger();

	private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

	private volatile boolean faulty;

	boolean run(Path folder, boolean trouble) throws Exception {
		try (Store store = new Store()) {
			store.put("op", "config", """
					{"version": 1, "tenants": [],
					 "routes": [
					  {"name": "once", "host": "a.example", "prefix": "/once/", "kind": "non_idempotent",
					   "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1, "service": "desk", "maxAttempts": 1,
					   "allowAnonymous": true}],
					 "services": [{"name": "desk", "healthCheckPath": "/health", "connectionLimit": 52}],
					 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
					            "idleTimeoutMs": 15000}}
					""");
			for (int index = 0; index < WORKERS; index++) {
				boolean mayFail = index < FAULTY_WORKERS;
				Worker worker = new Worker("i-desk" + index, (head, body, out) -> answer(mayFail, head, out));
				store.put("servers", worker.id, """
						{"service": "desk", "address": "%s", "zone": "zone-a", "version": "v1", "slots": 6,
						 "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}
						""".formatted(worker.address()));
			}
			try (Instance first = new Instance("front-1", store, folder);
					Instance other = new Instance("front-2", store, folder)) {
				first.start();
				other.start();
				first.awaitReady();
				other.awaitReady();
				play(List.of(first, other), trouble);
			}
		}
		Tools.record("requests " + this.sent + ", outcomes " + this.outcomes);
		Tools.record("answers without a length " + this.unframed + ", sent a second time " + this.sentTwice);
		Tools.record("successes whose body is not the worker's: " + this.mixed);
		return this.mixed.get() > 0;
	}

	private void play(List<Instance> instances, boolean trouble) throws Exception {
		Thread.sleep(1000);
		long end = System.nanoTime() + FAULTS * (FAULT_MILLIS + CALM_MILLIS) * 1_000_000;
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < REQUESTERS; index++) {
			String requester = "r" + index;
			Instance instance = instances.get(index % instances.size());
			threads.add(Tools.run(requester, () -> send(instance, requester, end)));
		}
		for (int fault = 0; fault < FAULTS; fault++) {
			Thread.sleep(CALM_MILLIS);
			this.faulty = trouble;
			Thread.sleep(FAULT_MILLIS);
			this.faulty = false;
		}
		for (Thread thread : threads) {
			thread.join(10_000);
		}
	}

	private synchronized boolean happens(boolean mayFail, double probability) {
		return this.faulty && mayFail && this.random.nextDouble() < probability;
	}

	private void answer(boolean mayFail, Http.Head head, OutputStream out) throws Exception {
		Thread.sleep(WORK_MILLIS);
		String attempt = head.header("Wagtailmux-Attempt-Id");
		byte[] body = body(attempt);
		byte[] whole = Worker.bytes(200, attempt, "Content-Length: " + body.length + "\r\n", body);
		byte[] late = this.second.remove(out);
		boolean withoutLength = happens(mayFail, UNFRAMED);
		out.write(withoutLength ? Worker.bytes(200, attempt, "", body) : whole);
		out.flush();
		if (late != null) {
			Thread.sleep(LATE_MILLIS);
			out.write(late);
			out.flush();
		}
		if (withoutLength) {
			this.unframed.incrementAndGet();
			throw new IOException("the answer ends with its channel");
		}
		if (happens(mayFail, TWICE)) {
			this.sentTwice.incrementAndGet();
			this.second.put(out, whole);
		}
	}

	private static byte[] body(String attempt) {
		byte[] body = new byte[BODY_BYTES];
		Arrays.fill(body, (byte) '.');
		byte[] text = ("answer to " + attempt).getBytes(StandardCharsets.ISO_8859_1);
		System.arraycopy(text, 0, body, 0, text.length);
		return body;
	}

	private void send(Instance instance, String requester, long end) throws Exception {
		for (int number = 1; System.nanoTime() < end;) {
			try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
				socket.setTcpNoDelay(true);
				BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
				Http.Head head = null;
				do {
					String attempt = requester + "n" + number++;
					this.sent.incrementAndGet();
					socket.getOutputStream()
						.write(("POST /once/a HTTP/1.1\r\nHost: a.example\r\nWagtailmux-Attempt-Id: " + attempt
								+ "\r\nWagtailmux-Deadline-Remaining: 1500\r\nContent-Length: 4\r\n\r\nbody")
							.getBytes(StandardCharsets.ISO_8859_1));
					head = Http.head(in);
					this.outcomes.merge((head != null) ? head.first() : "closed", 1, Integer::sum);
					if (head != null) {
						check(attempt, head, Http.body(in, head));
					}
				}
				while (head != null && System.nanoTime() < end);
			}
		}
	}

	private void check(String attempt, Http.Head head, byte[] body) {
		if (head.status() == 200 && !Arrays.equals(body, body(attempt))) {
			this.mixed.incrementAndGet();
			String text = new String(body, StandardCharsets.ISO_8859_1).replaceAll("\\.{20,}", "...")
				.replaceAll("\\s+", " ");
			Tools.record(attempt + ": 200 with signature " + head.header("Wagtailmux-Response-Signature") + " and "
					+ body.length + " bytes where the worker's body has " + BODY_BYTES + ": " + text);
		}
	}

}
