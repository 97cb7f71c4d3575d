package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users upload at once, each within the limits of the configuration. Checks that
 * requests are answered by the timeout of their route, also small ones of others.
 */
public final class LargeBodies {

	private static final int INSTANCES = 2;

	private static final int BODY_BYTES = 4_000_000;

	/** Uploads a second at each instance, and how many times as many come in a burst. */
	private static final int UPLOADS_PER_SECOND = 4;

	private static final double BURST = 2.5;

	private static final int BURST_FROM_SECOND = 8;

	private static final int BURST_SECONDS = 6;

	private static final int SECONDS = 40;

	/**
	 * Requests that are sent from the start of the burst until so many seconds after its end are not counted: a
	 * machine may be choked for 5 s after it, and is in touch 3 s (contactMs) later.
	 */
	private static final int NOT_COUNTED_SECONDS = 8;

	private static final int LOOKUPS_PER_SECOND = 10;

	/** Over which time a requester sends its body: 32 Mbit/s. */
	private static final int SENDING_MILLIS = 1000;

	private static final int UPLOAD_WORK_MILLIS = 2000;

	private static final int UPLOAD_TIMEOUT_MILLIS = 8000;

	private static final int LOOKUP_TIMEOUT_MILLIS = 1500;

	private static final int ANSWER_SLACK_MILLIS = 500;

	private static final String CONFIGURATION = """
			{"version": 1,
			 "routes": [
			  {"name": "upload", "host": "pipelines.example", "prefix": "/upload/", "kind": "non_idempotent",
			   "timeoutMs": 8000, "targetLatencyMs": 4000, "maxAttempts": 1, "service": "intake"},
			  {"name": "lookup", "host": "pipelines.example", "prefix": "/lookup/", "kind": "idempotent",
			   "timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "service": "desk"}],
			 "services": [{"name": "intake", "healthCheckPath": "/health", "connectionLimit": 400},
			  {"name": "desk", "healthCheckPath": "/health", "connectionLimit": 400}],
			 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
			""";

	private final Record record;

	private final boolean trouble;

	private final List<InstanceProcess> instances = new ArrayList<>();

	private final byte[] slice = new byte[40_000];

	private final Random random = new Random();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger closed = new AtomicInteger();

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private volatile boolean counted = true;

	private LargeBodies(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Path.of(arguments[0]);
		int status = 2;
		try (Record record = new Record(folder.resolve("record.txt"))) {
			try {
				status = new LargeBodies(record, trouble).play() ? 0 : 1;
			}
			catch (IOException | IllegalStateException ex) {
				record.line("the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		System.exit(status);
	}

	private boolean play() throws IOException, InterruptedException {
		Path temporary = InstanceProcess.temporaryFolder("review-5");
		StoreStandIn store = new StoreStandIn();
		store.put("op", "config", CONFIGURATION);
		List<Worker> workers = new ArrayList<>();
		for (int index = 0; index < 2; index++) {
			workers.add(new PlainWorker("intake-" + index, "intake", "zone-a", store, this.record, UPLOAD_WORK_MILLIS, 64));
			workers.add(new PlainWorker("desk-" + index, "desk", "zone-a", store, this.record, 20, 16));
		}
		workers.forEach(Worker::register);
		ExecutorService threads = Executors.newCachedThreadPool();
		try {
			for (int index = 0; index < INSTANCES; index++) {
				InstanceProcess instance = new InstanceProcess("front-" + index, "zone-a", store.port(), temporary,
						"limits.memoryMb=430\n");
				instance.start();
				this.instances.add(instance);
			}
			for (InstanceProcess instance : this.instances) {
				instance.awaitReady(30);
			}
			Thread.sleep(3000);
			sendAll(threads);
			Thread.sleep(UPLOAD_TIMEOUT_MILLIS + 3000);
			for (InstanceProcess instance : this.instances) {
				this.record.line("instance %d: running %s, ready %s", instance.front, instance.alive(), instance.isReady());
			}
		}
		finally {
			this.instances.forEach(InstanceProcess::close);
			workers.forEach(Worker::close);
			store.close();
		}
		int atTimeout = this.late.get() + this.unanswered.get();
		String text = "counted: %d requests answered in time, %d connections closed, %d requests unanswered at their timeout, %d of them still half a second later"
			.formatted(this.answered.get(), this.closed.get(), atTimeout, this.unanswered.get());
		this.record.line("%s", text);
		System.out.println(text);
		if (this.answered.get() < 100) {
			throw new IllegalStateException("too few requests were answered");
		}
		return this.unanswered.get() < 8 || this.unanswered.get() * 2 <= atTimeout;
	}

	private void sendAll(ExecutorService threads) throws InterruptedException {
		double uploads = 0;
		double lookups = 0;
		for (int tick = 0; tick < SECONDS * 20; tick++) {
			int second = tick / 20;
			boolean burst = this.trouble && second >= BURST_FROM_SECOND && second < BURST_FROM_SECOND + BURST_SECONDS;
			this.counted = second < BURST_FROM_SECOND || second >= BURST_FROM_SECOND + BURST_SECONDS + NOT_COUNTED_SECONDS;
			if (tick == BURST_FROM_SECOND * 20 && this.trouble) {
				this.record.line("burst: %.1f times as many uploads for %d s", BURST, BURST_SECONDS);
			}
			for (InstanceProcess instance : this.instances) {
				if (Math.floor(uploads) > Math.floor(uploads - step(UPLOADS_PER_SECOND, burst))) {
					threads.execute(() -> ask(instance, true));
				}
				if (Math.floor(lookups) > Math.floor(lookups - step(LOOKUPS_PER_SECOND, false))) {
					threads.execute(() -> ask(instance, false));
				}
			}
			uploads += step(UPLOADS_PER_SECOND, burst);
			lookups += step(LOOKUPS_PER_SECOND, false);
			Thread.sleep(50);
		}
	}

	private static double step(int perSecond, boolean burst) {
		return perSecond * (burst ? BURST : 1) / 20;
	}

	private void ask(InstanceProcess instance, boolean upload) {
		String attempt;
		synchronized (this.random) {
			attempt = "%016x".formatted(this.random.nextLong());
		}
		int timeout = upload ? UPLOAD_TIMEOUT_MILLIS : LOOKUP_TIMEOUT_MILLIS;
		boolean count = this.counted;
		this.record.line("%s %s sent to %d", upload ? "upload" : "lookup", attempt, instance.front);
		long start = System.nanoTime();
		String result;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", instance.front), 1000);
			OutputStream out = socket.getOutputStream();
			int length = upload ? BODY_BYTES : 0;
			out.write("""
					POST /%s/a HTTP/1.1\r
					Host: pipelines.example\r
					Wagtailmux-Attempt-Id: %s\r
					Wagtailmux-Deadline-Remaining: %d\r
					Content-Length: %d\r
					\r
					""".formatted(upload ? "upload" : "lookup", attempt, timeout + 3000, length)
				.getBytes(StandardCharsets.US_ASCII));
			int slices = length / this.slice.length;
			for (int sent = 0; sent < slices; sent++) {
				out.write(this.slice);
				Thread.sleep(SENDING_MILLIS / slices);
			}
			result = await(socket, start, timeout, count);
		}
		catch (IOException ex) {
			this.closed.addAndGet(count ? 1 : 0);
			result = "connection closed: " + ex.getMessage();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return;
		}
		this.record.line("%s %s: %s after %.3f s", upload ? "upload" : "lookup", attempt, result,
				(System.nanoTime() - start) / 1e9);
	}

	/** Waits for the answer to a request until half a second after the route's timeout. */
	private String await(Socket socket, long start, int timeout, boolean count) throws IOException {
		BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
		long left = timeout + ANSWER_SLACK_MILLIS - (System.nanoTime() - start) / 1_000_000;
		socket.setSoTimeout((int) Math.max(1, left));
		try {
			HttpMessage answer = HttpMessage.read(in);
			if (answer == null) {
				this.closed.addAndGet(count ? 1 : 0);
				return "connection closed";
			}
			boolean inTime = System.nanoTime() - start <= timeout * 1_000_000L;
			(inTime ? this.answered : this.late).addAndGet(count ? 1 : 0);
			return "answered " + answer.status();
		}
		catch (SocketTimeoutException ex) {
			this.unanswered.addAndGet(count ? 1 : 0);
			return "no answer half a second past the timeout";
		}
	}

}
