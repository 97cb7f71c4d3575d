import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * The operator orders a roll-out to a version of which half of the answers are failures: they are cut short and their
 * channel is closed. On "completed" the old workers stop at once, on "rolled_back" the new ones drain.
 */
final class BadVersion {

	static final int DURATION_SECONDS = 12;

	static final int PLAY_MILLIS = 30_000;

	static final int ROLLBACK_MILLIS = 5_000;

	/** The rule counts from this bad answer. */
	static final int BAD_ANSWERS = 50;

	static final int CALLERS = 12;

	static final int PAUSE_MILLIS = 120;

	/** For a comparison by hand: the failures are whole answers with status 500. */
	static final boolean STATUS = Boolean.getBoolean("status");

	static final AtomicLong NEXT = new AtomicLong();

	/** Milliseconds of the bad answers of the new version. */
	static final Queue<Double> BAD = new ConcurrentLinkedQueue<>();

	/** Milliseconds at which requesters sent the requests that reached the new version. */
	static final Queue<Double> REACHED_NEW = new ConcurrentLinkedQueue<>();

	static final Map<String, Double> SENT = new ConcurrentHashMap<>();

	static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();

	public static void main(String[] arguments) throws Exception {
		try (Bed bed = new Bed()) {
			clock = bed;
			run(bed);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static void run(Bed bed) throws Exception {
		List<Bed.Worker> old = new ArrayList<>();
		List<Bed.Worker> next = new ArrayList<>();
		for (int index = 1; index <= 4; index++) {
			String zone = (index <= 2) ? "zone-a" : "zone-b";
			old.add(bed.new Worker("i-old-" + index, "desk", zone, 6, "v1", BadVersion::good));
		}
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"lookup\",\"host\":\"pipelines.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2},"
				+ "{\"name\":\"renewal\",\"host\":\"pipelines.example\",\"prefix\":\"/renew/\",\"kind\":\"non_idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":96,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
				+ "\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
		List<Bed.Instance> instances = new ArrayList<>();
		for (String name : List.of("front-a-1", "front-a-2", "front-b-1")) {
			instances.add(bed.startInstance(name, name.contains("-a-") ? "zone-a" : "zone-b", bed.store.port()));
		}
		for (Bed.Instance instance : instances) {
			if (!bed.await("ready", 20_000, instance::isReady)) {
				bed.exit(2);
			}
		}
		Bed.sleep(3_000);
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			int number = index;
			threads.add(new Thread(() -> caller(bed, instances.get(number % instances.size()), number, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(5_000);
		for (int index = 1; index <= 4; index++) {
			String zone = (index <= 2) ? "zone-a" : "zone-b";
			next.add(bed.new Worker("i-new-" + index, "desk", zone, 6, "v2",
					Bed.trouble() ? BadVersion::bad : BadVersion::good));
		}
		bed.store.put("op", "rollout/desk",
				"{\"service\":\"desk\",\"to\":\"v2\",\"durationS\":" + DURATION_SECONDS + "}");
		bed.log("roll-out to v2 ordered");
		double until = bed.now() + PLAY_MILLIS;
		String state = "";
		while (bed.now() < until) {
			String row = bed.store.get("status", "rollout/desk");
			String found = (row == null) ? "" : row.replaceAll(".*\"state\":\"(\\w+)\".*", "$1");
			if (!found.equals(state)) {
				state = found;
				bed.log("status: %s, bad answers so far: %d", state, BAD.size());
				if (state.equals("completed")) {
					for (Bed.Worker worker : old) {
						worker.crash();
						bed.store.remove("servers", worker.id);
					}
				}
				if (state.equals("rolled_back")) {
					next.forEach((worker) -> worker.register("draining", 0));
				}
			}
			Bed.sleep(20);
		}
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(5_000);
		}
		Map<String, Integer> counts = new TreeMap<>();
		OUTCOMES.values().forEach((outcome) -> counts.merge(outcome, 1, Integer::sum));
		bed.log("outcomes: %s", counts);
		List<Double> bad = BAD.stream().sorted().toList();
		long later = 0;
		if (bad.size() >= BAD_ANSWERS) {
			double bound = bad.get(BAD_ANSWERS - 1) + ROLLBACK_MILLIS;
			later = REACHED_NEW.stream().filter((sentAt) -> sentAt > bound).count();
			bed.log("50th bad answer at %.3f s", bad.get(BAD_ANSWERS - 1) / 1000);
		}
		bed.log("state %s, bad answers %d, requests of the new version sent later than rollbackMs after the 50th: %d",
				state, bad.size(), later);
		System.out.println(state + ", bad " + bad.size() + ", later " + later + ", " + counts);
		bed.exit(later > 0 ? 1 : counts.getOrDefault("200", 0) > 100 ? 0 : 2);
	}

	private static void good(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		if (worker.version.equals("v2")) {
			REACHED_NEW.add(SENT.get(attempt));
		}
		Thread.sleep(20);
		worker.answer(socket, attempt, 200, "", new byte[800]);
	}

	private static void bad(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		if (NEXT.getAndIncrement() % 2 == 0) {
			good(worker, socket, request);
			return;
		}
		String attempt = request.header("Wagtailmux-Attempt-Id");
		REACHED_NEW.add(SENT.get(attempt));
		Thread.sleep(20);
		if (STATUS) {
			worker.answer(socket, attempt, 500, "", new byte[0]);
			BAD.add(now());
			return;
		}
		socket.getOutputStream()
			.write(("HTTP/1.1 200 OK\r\nWagtailmux-Attempt-Id: " + attempt + "\r\nWagtailmux-Response-Signature: s."
					+ attempt + "\r\nContent-Length: 800\r\n\r\n")
				.getBytes());
		socket.getOutputStream().write(new byte[300]);
		BAD.add(now());
		throw new EOFException("cut short");
	}

	static Bed clock;

	private static double now() {
		return clock.now();
	}

	private static void caller(Bed bed, Bed.Instance instance, int number, AtomicBoolean ended) {
		int count = 0;
		while (!ended.get()) {
			boolean look = count % 2 == 0;
			String attempt = "r" + number + "-" + count++;
			SENT.put(attempt, bed.now());
			String outcome;
			try (Socket socket = new Socket(Bed.LOOPBACK, instance.front)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(6_000);
				socket.getOutputStream().write(Bed.request(look ? "GET" : "POST", look ? "/look/x" : "/renew/x", attempt,
						2_500, "", look ? -1 : 0).getBytes());
				Bed.Http.Message answer = Bed.Http.read(socket.getInputStream(), true);
				outcome = (answer == null || !answer.complete()) ? "closed" : "" + answer.status();
			}
			catch (IOException ex) {
				outcome = "closed";
			}
			OUTCOMES.put(attempt, outcome);
			bed.log("%s %s", attempt, outcome);
			Bed.sleep(PAUSE_MILLIS);
		}
	}

}
