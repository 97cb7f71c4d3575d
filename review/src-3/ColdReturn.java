import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.stream.*;

/**
 * The workers of one zone crash and come back cold, each at its address and under its id, while the store answers 503,
 * so that their new entries are accepted only later.
 */
final class ColdReturn {

	/** Requests per second that a cold worker tolerates. */
	static final double COLD_PER_SECOND = 2;

	static final int COLD_MILLIS = 3_000;

	/** coldPerS x coldOverage + coldSlack. */
	static final double BOUND = COLD_PER_SECOND * 1.5 + 5;

	static final int DOWN_MILLIS = 2_000;

	static final int STORE_DOWN_MILLIS = 4_500;

	static final int HEARTBEAT_MILLIS = 1_200;

	static final int CALLERS = 24;

	/** Pause of each caller between two requests. */
	static final int PAUSE_MILLIS = 140;

	static final int WORK_MILLIS = 40;

	/** Requests that may wait at a worker. */
	static final int QUEUE = 24;

	static final AtomicBoolean STORE_DOWN = new AtomicBoolean();

	public static void main(String[] arguments) throws Exception {
		try (Bed bed = new Bed()) {
			run(bed);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static void run(Bed bed) throws Exception {
		List<Bed.Worker> workers = new ArrayList<>();
		for (int index = 1; index <= 4; index++) {
			workers.add(bed.new Worker("i-desk-" + index, "desk", (index <= 2) ? "zone-a" : "zone-b", 2,
					ColdReturn::work));
		}
		bed.store.before = (call) -> {
			if (STORE_DOWN.get()) {
				throw new Bed.Refused(503);
			}
		};
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"look\",\"host\":\"pipelines.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":96,"
				+ "\"coldStartS\":3.0,\"coldPerS\":" + COLD_PER_SECOND + "}],"
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
			Bed.Instance instance = instances.get(index % instances.size());
			String name = "look-" + index;
			threads.add(new Thread(() -> caller(bed, instance, name, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(6_000);
		List<Bed.Worker> returning = workers.subList(2, 4);
		Map<Bed.Worker, Double> coldFrom = new HashMap<>();
		if (Bed.trouble()) {
			bed.log("the store answers 503, zone-b crashes");
			STORE_DOWN.set(true);
			double storeDownAt = bed.now();
			List<Integer> ports = returning.stream().map(Bed.Worker::port).toList();
			for (Bed.Worker worker : returning) {
				worker.crash();
			}
			Bed.sleep(DOWN_MILLIS);
			for (int index = 0; index < returning.size(); index++) {
				Bed.Worker worker = returning.get(index);
				worker.listenAgain(ports.get(index));
				coldFrom.put(worker, bed.now());
				bed.log("%s is back, cold for %d ms", worker.id, COLD_MILLIS);
				Bed.daemon(() -> {
					while (STORE_DOWN.get()) {
						Bed.sleep(HEARTBEAT_MILLIS);
					}
					long cold = (long) (coldFrom.get(worker) + COLD_MILLIS - bed.now());
					worker.register("ready", Math.max(0, cold));
					bed.log("%s registered", worker.id);
				});
			}
			Bed.sleep((long) (STORE_DOWN_MILLIS - (bed.now() - storeDownAt)));
			STORE_DOWN.set(false);
			bed.log("the store answers again");
		}
		Bed.sleep(8_000);
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(5_000);
		}
		long served = OUTCOMES.values().stream().filter("200"::equals).count();
		bed.log("requests: %d, served: %d", OUTCOMES.size(), served);
		long most = 0;
		for (Map.Entry<Bed.Worker, Double> entry : coldFrom.entrySet()) {
			double from = entry.getValue();
			List<Double> times = entry.getKey().reached.values()
				.stream()
				.filter((at) -> at >= from && at < from + COLD_MILLIS)
				.sorted()
				.toList();
			long worst = times.stream()
				.mapToLong((start) -> times.stream().filter((at) -> at >= start && at < start + 1000).count())
				.max()
				.orElse(0);
			bed.log("%s: %d requests while cold, %d in its worst second, allowed %.1f", entry.getKey().id, times.size(),
					worst, BOUND);
			most = Math.max(most, worst);
		}
		System.out.println("served " + served + " of " + OUTCOMES.size() + ", worst second " + most);
		bed.exit(most > BOUND ? 1 : served > OUTCOMES.size() / 2 ? 0 : 2);
	}

	static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();

	static final Map<Bed.Worker, Semaphore> SLOTS = new ConcurrentHashMap<>();

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		Semaphore slots = SLOTS.computeIfAbsent(worker, (ignored) -> new Semaphore(worker.slots, true));
		if (slots.getQueueLength() >= QUEUE) {
			worker.reject(socket, request.header("Wagtailmux-Attempt-Id"), 503, "");
			return;
		}
		slots.acquire();
		try {
			Thread.sleep(WORK_MILLIS);
		}
		finally {
			slots.release();
		}
		worker.answer(socket, request.header("Wagtailmux-Attempt-Id"), 200,
				"Wagtailmux-Server-Load: " + (worker.slots - slots.availablePermits()) + "," + slots.getQueueLength() + ","
						+ worker.slots + "\r\n",
				"ok".getBytes());
	}

	private static void caller(Bed bed, Bed.Instance instance, String name, AtomicBoolean ended) {
		int count = 0;
		while (!ended.get()) {
			try (Socket socket = new Socket(Bed.LOOPBACK, instance.front)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(10_000);
				InputStream input = new BufferedInputStream(socket.getInputStream());
				while (!ended.get()) {
					String attempt = name + "-" + count++;
					socket.getOutputStream().write(Bed.request("GET", "/look/x", attempt, 2_500, "", -1).getBytes());
					Bed.Http.Message answer = Bed.Http.read(input, true);
					String outcome = (answer == null || !answer.complete()) ? "closed" : "" + answer.status();
					OUTCOMES.put(attempt, outcome);
					bed.log("%s %s", attempt, outcome);
					if (answer == null) {
						break;
					}
					Bed.sleep(PAUSE_MILLIS);
				}
			}
			catch (IOException ex) {
				bed.log("%s: %s", name, ex);
				Bed.sleep(100);
			}
		}
	}

}
