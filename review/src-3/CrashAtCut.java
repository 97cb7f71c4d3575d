import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * All machines of a zone are partitioned from all workers; one request, which comes again and again in that zone, crashes
 * each worker that begins to run it.
 */
final class CrashAtCut {

	static final int CUT_MILLIS = 16_000;

	static final int CONTACT_MILLIS = 3_000;

	/** Pause between two tries of the request that crashes workers. */
	static final int REPEAT_MILLIS = 700;

	/** A crashed worker is back after this time, at its address and under its id. */
	static final int BACK_MILLIS = 2_500;

	static final int MOST_RETRIES = 3;

	static final int CALLERS = 9;

	static final int PAUSE_MILLIS = 150;

	/** For a comparison by hand: the request without the partition. */
	static final boolean CUT = !"false".equals(System.getProperty("cut"));

	static final Map<String, Double> SENT = new ConcurrentHashMap<>();

	/** Milliseconds at which the requester sent the tries that reached a worker. */
	static final List<Double> REACHED = new CopyOnWriteArrayList<>();

	static final List<Double> CRASHES = new CopyOnWriteArrayList<>();

	static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();

	static Bed clock;

	static final Map<Integer, Bed.Proxy> PROXIES = new ConcurrentHashMap<>();

	static volatile boolean cutOff;

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
		List<Bed.Worker> workers = new ArrayList<>();
		for (int index = 1; index <= 8; index++) {
			workers.add(bed.new Worker("i-desk-" + index, "desk", (index <= 4) ? "zone-a" : "zone-b", 6,
					CrashAtCut::work));
		}
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"renewal\",\"host\":\"pipelines.example\",\"prefix\":\"/renew/\",\"kind\":\"non_idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":96,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
				+ "\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
		Map<String, Bed.Proxy> proxies = new HashMap<>();
		for (Bed.Worker worker : workers) {
			PROXIES.put(worker.port(), new Bed.Proxy(worker.port()));
			proxies.put("\"" + Bed.LOOPBACK + ":" + worker.port() + "\"", PROXIES.get(worker.port()));
		}
		int storePort = bed.store.portShowing((entry) -> {
			for (Map.Entry<String, Bed.Proxy> proxy : proxies.entrySet()) {
				entry = entry.replace(proxy.getKey(), "\"" + Bed.LOOPBACK + ":" + proxy.getValue().port() + "\"");
			}
			return entry;
		});
		bed.store.startTogether(3);
		List<Bed.Instance> instances = List.of(bed.startInstance("front-a-1", "zone-a", storePort),
				bed.startInstance("front-a-2", "zone-a", storePort),
				bed.startInstance("front-b-1", "zone-b", bed.store.port()));
		for (Bed.Instance instance : instances) {
			if (!bed.await("ready", 20_000, instance::isReady)) {
				bed.exit(2);
			}
		}
		Bed.sleep(4_000);
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			int number = index;
			threads.add(new Thread(() -> caller(bed, instances, number, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(5_000);
		if (Bed.trouble() && CUT) {
			bed.log("zone-a is cut off from all workers");
			cutOff = true;
			for (Bed.Proxy proxy : proxies.values()) {
				proxy.cut();
			}
		}
		double until = bed.now() + CUT_MILLIS;
		Bed.sleep(1_500);
		for (int count = 0; bed.now() < until - 500; count++) {
			String attempt = "crash-" + count;
			String outcome = call(bed, instances.get(count % 2), attempt, Bed.trouble() ? "/renew/crash" : "/renew/x");
			bed.log("%s at %s: %s", attempt, instances.get(count % 2).name, outcome);
			Bed.sleep(REPEAT_MILLIS);
		}
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(8_000);
		}
		Map<String, Integer> counts = new TreeMap<>();
		OUTCOMES.values().forEach((outcome) -> counts.merge(outcome, 1, Integer::sum));
		bed.log("other requests: %s", counts);
		long retries = 0;
		if (CRASHES.size() >= 3) {
			double bound = CRASHES.get(2) + CONTACT_MILLIS;
			bed.log("third crash at %.3f s", CRASHES.get(2) / 1000);
			retries = REACHED.stream().filter((sentAt) -> sentAt > bound).count();
		}
		bed.log("crashes: %d; tries sent later than contactMs after the third crash that reached a worker: %d, allowed %d",
				CRASHES.size(), retries, MOST_RETRIES);
		System.out.println("crashes " + CRASHES.size() + ", later " + retries + ", others " + counts);
		bed.exit(retries > MOST_RETRIES ? 1 : counts.getOrDefault("200", 0) > 100 ? 0 : 2);
	}

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		if (!request.start().contains("/renew/crash")) {
			Thread.sleep(20);
			worker.answer(socket, attempt, 200, "", "done".getBytes());
			return;
		}
		REACHED.add(SENT.get(attempt));
		Thread.sleep(20);
		CRASHES.add(clock.now());
		clock.log("%s crashes %s", attempt, worker.id);
		int port = worker.port();
		worker.crash();
		PROXIES.get(port).cut();
		Bed.daemon(() -> {
			Bed.sleep(BACK_MILLIS);
			try {
				worker.listenAgain(port);
				if (!cutOff) {
					PROXIES.get(port).heal();
				}
				worker.register("ready", 0);
				clock.log("%s is back", worker.id);
			}
			catch (IOException ex) {
				clock.log("%s: %s", worker.id, ex);
			}
		});
	}

	private static void caller(Bed bed, List<Bed.Instance> instances, int number, AtomicBoolean ended) {
		int count = 0;
		while (!ended.get()) {
			String attempt = "r" + number + "-" + count++;
			String outcome = call(bed, instances.get(number % instances.size()), attempt, "/renew/r" + number + "/" + count);
			OUTCOMES.put(attempt, outcome);
			bed.log("%s %s", attempt, outcome);
			Bed.sleep(PAUSE_MILLIS);
		}
	}

	private static String call(Bed bed, Bed.Instance instance, String attempt, String path) {
		SENT.put(attempt, bed.now());
		try (Socket socket = new Socket(Bed.LOOPBACK, instance.front)) {
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(6_000);
			socket.getOutputStream().write(Bed.request("POST", path, attempt, 2_500, "", 0).getBytes());
			Bed.Http.Message answer = Bed.Http.read(socket.getInputStream(), true);
			return (answer == null || !answer.complete()) ? "closed" : "" + answer.status();
		}
		catch (IOException ex) {
			return "closed";
		}
	}

}
