import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * The workers of a service say that they are brittle; instances that are more than twice as many as the places of one
 * worker share them. Requesters wait as they are told.
 */
final class Brittle {

	/** Another number is for a comparison by hand. */
	static final int INSTANCES = Integer.getInteger("instances", 24);

	static final int WORKERS = 4;

	static final int SLOTS = 8;

	/** Requests that a brittle worker may turn away in a second for want of room. */
	static final int BRITTLE = 5;

	/** Requests that may wait at a worker until contactMs after it became brittle, and none later. */
	static final int QUEUE = 24;

	static final int CONTACT_MILLIS = 3_000;

	static final int BRITTLE_MILLIS = 24_000;

	static final int BACK_MILLIS = 2_500;

	/** With 100 ms of work and a pause of 100 ms in the mean, they offer three quarters of what the workers can do. */
	static final int CALLERS = 48;

	/** The mean of the pauses. */
	static final int PAUSE_MILLIS = 100;

	/** The mean time of work is 50 ms more than half of this. */
	static final int WORK_SPREAD_MILLIS = 100;

	static volatile boolean brittle;

	static volatile boolean fewerWait;

	static Bed clock;

	static final List<String> FALLS = new CopyOnWriteArrayList<>();

	static final Map<String, Integer> OUTCOMES = new ConcurrentHashMap<>();

	/** The places of a worker. */
	static final class Room {

		final Deque<Double> rejected = new ArrayDeque<>();

		int running;

		int waiting;

		int worst;

	}

	static final Map<Bed.Worker, Room> ROOMS = new ConcurrentHashMap<>();

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
		for (int index = 1; index <= WORKERS; index++) {
			bed.new Worker("i-desk-" + index, "desk", (index <= 2) ? "zone-a" : "zone-b", SLOTS, Brittle::work);
		}
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"look\",\"host\":\"pipelines.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":600,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
				+ "\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
		List<Bed.Instance> instances = new ArrayList<>();
		for (int index = 0; index < INSTANCES; index++) {
			instances.add(bed.startInstance("front-" + index, (index % 2 == 0) ? "zone-a" : "zone-b", bed.store.port()));
		}
		for (Bed.Instance instance : instances) {
			if (!bed.await("ready", 30_000, instance::isReady)) {
				bed.exit(2);
			}
		}
		Bed.sleep(8_000);
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			Bed.Instance instance = instances.get(index % INSTANCES);
			String name = "look-" + index;
			threads.add(new Thread(() -> caller(bed, instance, name, ended)));
		}
		threads.forEach(Thread::start);
		Bed.sleep(5_000);
		if (Bed.trouble()) {
			brittle = true;
			bed.log("brittle");
			Bed.sleep(CONTACT_MILLIS);
			fewerWait = true;
			bed.log("fewer wait");
		}
		Bed.sleep(BRITTLE_MILLIS - CONTACT_MILLIS);
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(5_000);
		}
		double allowed = 2 + WORKERS / 10.0;
		bed.log("outcomes %s, falls %d, allowed %.1f", OUTCOMES, FALLS.size(), allowed);
		ROOMS.forEach((worker, room) -> bed.log("%s: worst second %d rejected", worker.id, room.worst));
		System.out.println(OUTCOMES + ", falls " + FALLS.size());
		bed.exit(FALLS.size() > allowed ? 1 : OUTCOMES.getOrDefault("200", 0) > 1000 ? 0 : 2);
	}

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		Room room = ROOMS.computeIfAbsent(worker, (ignored) -> new Room());
		String said = brittle ? "Server-Brittle: " + BRITTLE + "\r\n" : "";
		boolean full;
		boolean falls = false;
		synchronized (room) {
			full = room.running >= SLOTS && room.waiting >= (fewerWait ? 0 : QUEUE);
			if (full) {
				double now = clock.now();
				room.rejected.addLast(now);
				while (now - room.rejected.peekFirst() > 1000) {
					room.rejected.removeFirst();
				}
				room.worst = Math.max(room.worst, room.rejected.size());
				falls = fewerWait && room.rejected.size() > BRITTLE;
				if (falls) {
					room.rejected.clear();
				}
			}
			else {
				while (room.running >= SLOTS) {
					room.waiting++;
					room.wait();
					room.waiting--;
				}
				room.running++;
			}
		}
		if (falls) {
			fall(worker);
			return;
		}
		if (full) {
			worker.reject(socket, attempt, 503, said);
			return;
		}
		try {
			Thread.sleep(50 + ThreadLocalRandom.current().nextInt(WORK_SPREAD_MILLIS));
		}
		finally {
			synchronized (room) {
				room.running--;
				room.notify();
			}
		}
		worker.answer(socket, attempt, 200,
				said + "Wagtailmux-Server-Load: " + room.running + "," + room.waiting + "," + SLOTS + "\r\n",
				"ok".getBytes());
	}

	private static void fall(Bed.Worker worker) throws IOException {
		FALLS.add(worker.id);
		clock.log("%s falls", worker.id);
		int port = worker.port();
		worker.crash();
		Bed.daemon(() -> {
			Bed.sleep(BACK_MILLIS);
			try {
				worker.listenAgain(port);
				worker.register("ready", 0);
			}
			catch (IOException ex) {
				clock.log("%s", ex);
			}
		});
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
					OUTCOMES.merge((answer == null) ? "closed" : "" + answer.status(), 1, Integer::sum);
					if (answer == null) {
						break;
					}
					String retryAfter = answer.header("Retry-After");
					Bed.sleep(ThreadLocalRandom.current().nextInt(2 * PAUSE_MILLIS)
							+ (retryAfter.isEmpty() ? 0 : (long) (Double.parseDouble(retryAfter) * 1000)));
				}
			}
			catch (IOException ex) {
				Bed.sleep(100);
			}
		}
	}

}
