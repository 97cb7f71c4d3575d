import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A desired state raises maxHeaderBytes. Requesters that keep their channels send heads of 10 KB after the state has
 * to be in force.
 */
final class HeaderLimit {

	static final int CONFIG_APPLY_MILLIS = 2_000;

	static final int CALLERS = 24;

	static final int PAUSE_MILLIS = 250;

	static final int LARGE_HEADER_BYTES = 10_000;

	static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();

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
		for (int index = 1; index <= 2; index++) {
			bed.new Worker("i-desk-" + index, "desk", "zone-a", 12, HeaderLimit::work);
		}
		bed.store.put("op", "config", configuration(1, Bed.trouble() ? 8_192 : 16_384));
		Bed.Instance instance = bed.startInstance("front-a-1", "zone-a", bed.store.port());
		if (!bed.await("ready", 20_000, instance::isReady)) {
			bed.exit(2);
		}
		Bed.sleep(1_000);
		AtomicBoolean ended = new AtomicBoolean();
		AtomicBoolean large = new AtomicBoolean();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			int number = index;
			threads.add(new Thread(() -> caller(bed, instance, number, large, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(4_000);
		bed.store.put("op", "config", configuration(7, 16_384));
		bed.log("desired state 7 confirmed, maxHeaderBytes 16384");
		Bed.sleep(CONFIG_APPLY_MILLIS + 1_000);
		bed.log("heads of 10 KB from now on");
		large.set(true);
		Bed.sleep(4_000);
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(8_000);
		}
		Map<String, Integer> counts = new TreeMap<>();
		OUTCOMES.forEach((attempt, outcome) -> counts.merge(attempt.split("-")[0] + " " + outcome, 1, Integer::sum));
		long denied = OUTCOMES.values().stream().filter((outcome) -> outcome.equals("431")).count();
		double allowed = 5 + OUTCOMES.size() / 500.0;
		bed.log("%s", counts);
		bed.log("refused with 431: %d of %d, allowed %.1f", denied, OUTCOMES.size(), allowed);
		System.out.println(counts + " allowed " + allowed);
		bed.exit(denied > allowed ? 1 : counts.getOrDefault("large 200", 0) > 50 ? 0 : 2);
	}

	private static String configuration(int version, int headerBytes) {
		return "{\"version\":" + version + ",\"routes\":["
				+ "{\"name\":\"lookup\",\"host\":\"pipelines.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":96,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":" + headerBytes + ",\"maxBodyBytes\":4194304,"
				+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
	}

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		Thread.sleep(20);
		worker.answer(socket, request.header("Wagtailmux-Attempt-Id"), 200, "", "ok".getBytes());
	}

	/** Keeps its channel as long as the instance does. */
	private static void caller(Bed bed, Bed.Instance instance, int number, AtomicBoolean large, AtomicBoolean ended) {
		int count = 0;
		while (!ended.get()) {
			try (Socket socket = new Socket(Bed.LOOPBACK, instance.front)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(6_000);
				InputStream input = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				while (kept && !ended.get()) {
					boolean sendsLarge = large.get();
					String attempt = (sendsLarge ? "large-" : "small-") + number + "-" + count++;
					String header = sendsLarge ? "X-Notes: " + "n".repeat(LARGE_HEADER_BYTES) + "\r\n" : "";
					socket.getOutputStream()
						.write(Bed.request("GET", "/look/x", attempt, 2_500, header, -1).getBytes());
					Bed.Http.Message answer = Bed.Http.read(input, true);
					String outcome = (answer == null || !answer.complete()) ? "closed" : "" + answer.status();
					OUTCOMES.put(attempt, outcome);
					bed.log("%s %s", attempt, outcome);
					kept = answer != null && !answer.header("connection").equalsIgnoreCase("close");
					Bed.sleep(PAUSE_MILLIS);
				}
			}
			catch (IOException ex) {
				bed.log("caller %d: %s", number, ex);
				Bed.sleep(PAUSE_MILLIS);
			}
		}
	}

}
