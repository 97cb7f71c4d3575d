package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A burst of requests with bodies within the limits, beside small requests that may run
 * once and are sent all the time.
 */
final class LargeBodies {

	private static final int USUAL_UPLOADS = 16;

	/** The largest dose of a burst in the standard days of the site. */
	private static final double BURST = 2.5;

	/** Bytes of a large body; the limit of the configuration is 4,194,304. */
	private static final int BODY_BYTES = 4_000_000;

	/** Time in which a requester sends a large body. */
	private static final long UPLOAD_MILLIS = 3000;

	private static final long UPLOAD_WORK_MILLIS = 1500;

	private static final int SMALL_REQUESTERS = 12;

	private static final long SMALL_PAUSE_MILLIS = 800;

	private static final long SMALL_WORK_MILLIS = 20;

	private static final long SMALL_TIMEOUT_MILLIS = 1500;

	private static final long SMALL_DEADLINE_MILLIS = 6000;

	/** Of the rule: no final answer this long after the route's timeout. */
	private static final long GRACE_MILLIS = 500;

	private static final int RULE_REQUESTS = 8;

	private static final long PLAY_MILLIS = 30_000;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger unansweredAtTimeout = new AtomicInteger();

	private final AtomicInteger unansweredLater = new AtomicInteger();

	private final AtomicInteger ranUnanswered = new AtomicInteger();

	private final AtomicInteger uploadsAnswered = new AtomicInteger();

	boolean run(Path folder, boolean trouble) throws Exception {
		try (Store store = new Store();
				Worker desk = new Worker("i-desk", (head, body, out) -> {
					Thread.sleep(SMALL_WORK_MILLIS);
					Worker.write(out, 200, head.header("Wagtailmux-Attempt-Id"), "", new byte[800]);
				});
				Worker intake = new Worker("i-intake", (head, body, out) -> {
					Thread.sleep(UPLOAD_WORK_MILLIS);
					Worker.write(out, 200, head.header("Wagtailmux-Attempt-Id"), "", new byte[800]);
				});
				Instance instance = new Instance("front-1", store, folder);
				Instance other = new Instance("front-2", store, folder)) {
			configure(store, desk, intake);
			instance.start();
			other.start();
			instance.awaitReady();
			other.awaitReady();
			Thread.sleep(3500);
			long end = System.nanoTime() + PLAY_MILLIS * 1_000_000;
			List<Thread> threads = new ArrayList<>();
			for (int index = 0; index < SMALL_REQUESTERS; index++) {
				String requester = "small" + index;
				threads.add(Tools.run(requester, () -> sendSmall(instance, desk, requester, end)));
				Thread.sleep(SMALL_PAUSE_MILLIS / SMALL_REQUESTERS);
			}
			Thread.sleep(3000);
			int uploads = (int) (USUAL_UPLOADS * (trouble ? BURST : 1));
			Tools.record("large requests at once: " + uploads);
			for (int index = 0; index < uploads; index++) {
				String attempt = "large" + index;
				Tools.run(attempt, () -> sendLarge(instance, intake, attempt));
			}
			for (Thread thread : threads) {
				thread.join(PLAY_MILLIS + 3 * SMALL_DEADLINE_MILLIS);
			}
			Tools.record("large requests answered: " + this.uploadsAnswered + " of " + uploads);
			Tools.record("small requests sent " + this.sent + ", unanswered at their route's timeout "
					+ this.unansweredAtTimeout + ", half a second later " + this.unansweredLater + "; of these "
					+ this.ranUnanswered + " had run at the worker");
			Tools.record("process alive: " + instance.alive());
			instance.log()
				.lines()
				.filter((line) -> line.contains("OutOfMemoryError") && line.contains("INFO"))
				.limit(3)
				.forEach((line) -> Tools.record("log: " + line));
			int late = this.unansweredLater.get();
			return late >= RULE_REQUESTS && 2 * late > this.unansweredAtTimeout.get() || !instance.alive();
		}
	}

	private static void configure(Store store, Worker desk, Worker intake) {
		store.put("op", "config", """
				{"version": 1, "tenants": [],
				 "routes": [
				  {"name": "once", "host": "a.example", "prefix": "/once/", "kind": "non_idempotent",
				   "timeoutMs": %d, "targetLatencyMs": 150, "priority": 1, "service": "desk", "maxAttempts": 1,
				   "allowAnonymous": true},
				  {"name": "send", "host": "a.example", "prefix": "/send/", "kind": "idempotent", "timeoutMs": 15000,
				   "targetLatencyMs": 3000, "priority": 1, "service": "intake", "maxAttempts": 1,
				   "allowAnonymous": true}],
				 "services": [
				  {"name": "desk", "healthCheckPath": "/health", "connectionLimit": 500},
				  {"name": "intake", "healthCheckPath": "/health", "connectionLimit": 500}],
				 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
				            "idleTimeoutMs": 15000}}
				""".formatted(SMALL_TIMEOUT_MILLIS));
		for (Worker worker : List.of(desk, intake)) {
			store.put("servers", worker.id, """
					{"service": "%s", "address": "%s", "zone": "zone-a", "version": "v1", "slots": 128,
					 "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}
					""".formatted(worker.id.substring(2), worker.address()));
		}
	}

	/** Sends small requests on a kept channel, the next one after the answer to the last. */
	private void sendSmall(Instance instance, Worker desk, String requester, long end) throws Exception {
		for (int number = 0; System.nanoTime() < end; number++) {
			try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout((int) SMALL_DEADLINE_MILLIS);
				BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
				while (System.nanoTime() < end) {
					number++;
					String attempt = requester + "n" + number;
					this.sent.incrementAndGet();
					long start = System.nanoTime();
					String outcome = "no answer before the deadline";
					try {
						socket.getOutputStream()
							.write(("POST /once/a HTTP/1.1\r\nHost: a.example\r\nWagtailmux-Attempt-Id: " + attempt
									+ "\r\nWagtailmux-Deadline-Remaining: " + SMALL_DEADLINE_MILLIS
									+ "\r\nContent-Length: 4\r\n\r\nbody")
								.getBytes(StandardCharsets.ISO_8859_1));
						Http.Head head = Http.head(in);
						outcome = (head != null) ? head.first() : "closed without an answer";
						if (head != null) {
							Http.body(in, head);
						}
					}
					finally {
						note(desk, attempt, outcome, (System.nanoTime() - start) / 1_000_000);
					}
					if (outcome.startsWith("closed")) {
						break;
					}
					Thread.sleep(SMALL_PAUSE_MILLIS);
				}
			}
			catch (IOException ex) {
				Tools.record(requester + ": " + ex.getMessage());
			}
		}
	}

	private void note(Worker desk, String attempt, String outcome, long millis) {
		if (millis > SMALL_TIMEOUT_MILLIS) {
			this.unansweredAtTimeout.incrementAndGet();
		}
		if (millis > SMALL_TIMEOUT_MILLIS + GRACE_MILLIS) {
			this.unansweredLater.incrementAndGet();
			if (desk.runs.containsKey(attempt)) {
				this.ranUnanswered.incrementAndGet();
			}
		}
		Tools.record(attempt + ": " + outcome + " after " + millis + " ms, runs " + desk.runs.getOrDefault(attempt, 0));
	}

	private void sendLarge(Instance instance, Worker intake, String attempt) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", instance.frontPort)) {
			OutputStream out = socket.getOutputStream();
			String end;
			try {
				out.write(("POST /send/a HTTP/1.1\r\nHost: a.example\r\nWagtailmux-Attempt-Id: " + attempt
						+ "\r\nWagtailmux-Deadline-Remaining: 15000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				int parts = 50;
				byte[] part = new byte[BODY_BYTES / parts];
				for (int index = 0; index < parts; index++) {
					out.write(part);
					Thread.sleep(UPLOAD_MILLIS / parts);
				}
				Http.Head head = Http.head(new BufferedInputStream(socket.getInputStream()));
				end = (head != null) ? head.first() : "closed without an answer";
				if (head != null) {
					this.uploadsAnswered.incrementAndGet();
				}
			}
			catch (IOException ex) {
				end = ex.getMessage();
			}
			Tools.record(attempt + ": " + end + ", runs " + intake.runs.getOrDefault(attempt, 0));
		}
	}

}
