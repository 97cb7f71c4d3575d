import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Callers upload bodies of the largest size that the desired state allows, each at a modest pace, beside small requests
 * on kept channels. A burst makes the uploads 2.375 times as many: 38 at a time in place of 16.
 */
final class LargeBodies {

	static final int BODY_BYTES = 4_194_304;

	/** 1.28 MB a second for each caller, so that 38 of them take two fifths of the link of 1,000 Mbit/s. */
	static final int PIECE_BYTES = 65_536;

	static final int PIECE_MILLIS = 50;

	static final int USUAL_LARGE_CALLERS = 16;

	static final int LARGE_CALLERS_IN_BURST = 38;

	static final int BURST_MILLIS = 5_700;

	static final int SMALL_CALLERS = 24;

	static final int WORK_MILLIS = 100;

	/** The route's timeoutMs of the small requests. */
	static final int TIMEOUT_MILLIS = 1_500;

	/** Time after the route's timeout in which a final answer has to come. */
	static final int SLACK_MILLIS = 500;

	/** The rule counts from this number of late requests. */
	static final int LEAST_LATE = 8;

	/** Milliseconds from the sending of each small request to its answer or the end of its channel. */
	static final Map<String, Double> TIMES = new ConcurrentHashMap<>();

	static final Set<String> RUN = ConcurrentHashMap.newKeySet();

	public static void main(String[] arguments) throws Exception {
		try (Bed bed = new Bed()) {
			run(bed);
		}
		catch (Exception ex) {
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static void run(Bed bed) throws Exception {
		for (int index = 1; index <= 4; index++) {
			bed.new Worker("i-desk-" + index, "desk", "zone-a", 64, LargeBodies::work);
		}
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"small\",\"host\":\"pipelines.example\",\"prefix\":\"/small/\",\"kind\":\"non_idempotent\","
				+ "\"timeoutMs\":1500,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1},"
				+ "{\"name\":\"large\",\"host\":\"pipelines.example\",\"prefix\":\"/large/\",\"kind\":\"non_idempotent\","
				+ "\"timeoutMs\":6000,\"targetLatencyMs\":5000,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":610,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
				+ "\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
		Bed.Instance instance = bed.startInstance("front-a-1", "zone-a", bed.store.port());
		if (!bed.await("ready", 15_000, instance::isReady)) {
			bed.exit(2);
		}
		Bed.sleep(1_000);
		Map<String, String> outcomes = new ConcurrentHashMap<>();
		AtomicBoolean ended = new AtomicBoolean();
		AtomicBoolean burstEnded = new AtomicBoolean();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < SMALL_CALLERS; index++) {
			int number = index;
			threads.add(new Thread(() -> caller(bed, instance, "small-" + number, 100, outcomes, ended)));
		}
		for (int index = 0; index < USUAL_LARGE_CALLERS; index++) {
			int number = index;
			threads.add(new Thread(() -> caller(bed, instance, "large-" + number, BODY_BYTES, outcomes, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(8_000);
		bed.log("burst: %s", Bed.trouble());
		for (int index = USUAL_LARGE_CALLERS; Bed.trouble() && index < LARGE_CALLERS_IN_BURST; index++) {
			int number = index;
			Thread more = new Thread(
					() -> caller(bed, instance, "large-" + number, BODY_BYTES, outcomes, burstEnded));
			more.start();
			threads.add(more);
		}
		Bed.sleep(BURST_MILLIS);
		burstEnded.set(true);
		Bed.sleep(6_000);
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(15_000);
		}
		Map<String, Integer> counts = new TreeMap<>();
		outcomes.forEach((attempt, outcome) -> counts.merge(attempt.split("-")[0] + " " + outcome.split(":")[0]
				+ (RUN.contains(attempt) ? ", run" : ", not run"), 1, Integer::sum));
		counts.forEach((outcome, count) -> bed.log("%s: %d", outcome, count));
		long unanswered = TIMES.values().stream().filter((time) -> time > TIMEOUT_MILLIS).count();
		long late = TIMES.values().stream().filter((time) -> time > TIMEOUT_MILLIS + SLACK_MILLIS).count();
		bed.log("small requests: %d, unanswered at the route's timeoutMs: %d, still half a second later: %d",
				TIMES.size(), unanswered, late);
		bed.log("process alive: %s", instance.process.isAlive());
		List<String> errors = instance.output().lines().filter((line) -> line.contains("OutOfMemoryError")).toList();
		bed.log("lines with OutOfMemoryError in the log: %d", errors.size());
		errors.stream().limit(3).forEach((line) -> bed.log("%s", line));
		System.out.println(counts + " unanswered " + unanswered + " late " + late);
		boolean broken = late >= LEAST_LATE && late * 2 > unanswered;
		boolean served = outcomes.values().stream().filter("200"::equals).count() > 100;
		bed.exit(broken || !instance.process.isAlive() ? 1 : served ? 0 : 2);
	}

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		RUN.add(attempt);
		Thread.sleep(WORK_MILLIS);
		worker.answer(socket, attempt, 200, "", "ok".getBytes());
	}

	/** Sends one request after the other, on one channel as long as it is kept. */
	private static void caller(Bed bed, Bed.Instance instance, String name, int length, Map<String, String> outcomes,
			AtomicBoolean ended) {
		int count = 0;
		while (!ended.get()) {
			try (Socket socket = new Socket(Bed.LOOPBACK, instance.front)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(10_000);
				InputStream input = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				while (kept && !ended.get()) {
					String attempt = name + "-" + count++;
					String outcome = call(bed, socket, input, attempt, length);
					outcomes.put(attempt, outcome);
					kept = !outcome.startsWith("closed");
					Bed.sleep(200);
				}
			}
			catch (IOException ex) {
				bed.log("%s: %s", name, ex);
				Bed.sleep(100);
			}
		}
	}

	private static String call(Bed bed, Socket socket, InputStream input, String attempt, int length) {
		double sentAt = bed.now();
		String path = "/" + attempt.split("-")[0] + "/x";
		String outcome;
		try {
			OutputStream output = socket.getOutputStream();
			output.write(Bed.request("POST", path, attempt, 5_500, "", length).getBytes());
			for (int sent = 0; sent < length; sent += PIECE_BYTES) {
				output.write(new byte[Math.min(PIECE_BYTES, length - sent)]);
				if (length > PIECE_BYTES) {
					Bed.sleep(PIECE_MILLIS);
				}
			}
			Bed.Http.Message answer = Bed.Http.read(input, true);
			outcome = (answer == null || !answer.complete()) ? "closed" : Integer.toString(answer.status());
		}
		catch (IOException ex) {
			outcome = "closed: " + ex.getMessage();
		}
		double took = bed.now() - sentAt;
		if (length < PIECE_BYTES) {
			TIMES.put(attempt, took);
		}
		bed.log("%s %s after %.0f ms", attempt, outcome, took);
		return outcome;
	}

}
