package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers of one stage crash now and then, one of four at a time, and the results that they
 * hold are gone. Checks that requests with stages, whose route was added later, are still
 * served afterwards.
 */
public final class StageWorkerLost {

	private static final int INSTANCES = 3;

	private static final int CRASHES = 12;

	private static final int CRASH_INTERVAL_SECONDS = 5;

	private static final int DOWN_MILLIS = 4000;

	private static final int REQUESTS_PER_SECOND = 24;

	private static final int CALM_SECONDS = 15;

	private static final String FIRST_ROUTE = """
			{"name": "look", "host": "pipelines.example", "prefix": "/look/", "kind": "idempotent",
			   "timeoutMs": 3000, "targetLatencyMs": 300, "maxAttempts": 2, "service": "desk", "priority": 2}""";

	private static final String LATER_ROUTE = """
			{"name": "summary", "host": "pipelines.example", "prefix": "/summary/", "kind": "streaming",
			   "timeoutMs": 6000, "targetLatencyMs": 1800, "maxAttempts": 2, "service": "model", "resumeStreams": true,
			   "gapTargetMs": 300, "priority": 1, "stages": [
			     {"service": "pages", "after": [], "bytes": 8000},
			     {"service": "voices", "after": [], "bytes": 8000},
			     {"service": "roster", "after": [1], "bytes": 6000}]}""";

	private static final String CONFIGURATION = """
			{"version": %d, "routes": [%s],
			 "services": [
			  {"name": "desk", "healthCheckPath": "/health", "connectionLimit": 600},
			  {"name": "model", "healthCheckPath": "/health", "connectionLimit": 600,
			   "engine": {"slots": 64, "kvCacheTokens": 500000}},
			  {"name": "pages", "healthCheckPath": "/health", "connectionLimit": 600,
			   "pieces": {"slots": 1, "queue": 2, "batch": 32, "callMs": 1100.0, "itemMs": 5.0, "headroomMb": 20.0,
			              "handleS": 8.0}},
			  {"name": "voices", "healthCheckPath": "/health", "connectionLimit": 600,
			   "pieces": {"slots": 1, "queue": 2, "batch": 4, "callMs": 40.0, "itemMs": 5.0, "headroomMb": 20.0,
			              "handleS": 8.0}},
			  {"name": "roster", "healthCheckPath": "/health", "connectionLimit": 600,
			   "pieces": {"slots": 1, "queue": 2, "batch": 24, "callMs": 800.0, "itemMs": 5.0, "headroomMb": 20.0,
			              "handleS": 8.0}}],
			 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
			""";

	private final Record record;

	private final boolean trouble;

	private final StoreStandIn store = new StoreStandIn();

	private final Results results = new Results();

	private final List<Worker> workers = new ArrayList<>();

	private final List<StageWorker> voices = new ArrayList<>();

	private final List<InstanceProcess> instances = new ArrayList<>();

	private final Random random = new Random();

	private final AtomicInteger[] asked = { new AtomicInteger(), new AtomicInteger() };

	private final AtomicInteger[] served = { new AtomicInteger(), new AtomicInteger() };

	private volatile boolean calm;

	private volatile boolean ended;

	private StageWorkerLost(Record record, boolean trouble) throws IOException {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Path.of(arguments[0]);
		int status = 2;
		try (Record record = new Record(folder.resolve("record.txt"))) {
			try {
				status = new StageWorkerLost(record, trouble).play() ? 0 : 1;
			}
			catch (IOException | IllegalStateException ex) {
				record.line("the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		System.exit(status);
	}

	private boolean play() throws IOException, InterruptedException {
		Path temporary = InstanceProcess.temporaryFolder("review-4");
		this.store.put("op", "config", CONFIGURATION.formatted(1, FIRST_ROUTE));
		for (int index = 0; index < 2; index++) {
			this.workers.add(new PlainWorker("desk-" + index, "desk", "zone-a", this.store, this.record, 20));
			this.workers
				.add(new ModelWorker("model-" + index, "model", "zone-a", this.store, this.record, this.results, 5, 20));
			StageWorker pages = new StageWorker("pages-" + index, "pages", "zone-a", this.store, this.record, this.results,
					1100, 5);
			// Workers of one service differ in speed.
			pages.slowness = 1 + 0.2 * index;
			this.workers.add(pages);
		}
		for (int index = 0; index < 4; index++) {
			this.voices.add(voice(index));
		}
		for (int index = 0; index < 4; index++) {
			this.workers
				.add(new StageWorker("roster-" + index, "roster", "zone-a", this.store, this.record, this.results, 800, 5));
		}
		this.workers.forEach(Worker::register);
		this.voices.forEach(Worker::register);
		ExecutorService threads = Executors.newCachedThreadPool();
		try {
			for (int index = 0; index < INSTANCES; index++) {
				InstanceProcess instance = new InstanceProcess("front-" + index, "zone-a", this.store.port(), temporary,
						"");
				instance.start();
				this.instances.add(instance);
			}
			for (InstanceProcess instance : this.instances) {
				instance.awaitReady(30);
			}
			Thread.sleep(4000);
			this.store.put("op", "config", CONFIGURATION.formatted(4, FIRST_ROUTE + ", " + LATER_ROUTE));
			this.record.line("instances are ready; a version with a further route was confirmed");
			Thread.sleep(3000);
			threads.execute(() -> sendAll(threads));
			Thread.sleep(4000);
			crashSome();
			Thread.sleep(6000);
			this.calm = true;
			this.record.line("calm from here");
			Thread.sleep(CALM_SECONDS * 1000);
			this.calm = false;
			this.ended = true;
			Thread.sleep(7000);
		}
		finally {
			this.ended = true;
			this.instances.forEach(InstanceProcess::close);
			this.workers.forEach(Worker::close);
			this.voices.forEach(Worker::close);
			this.store.close();
		}
		return judge();
	}

	private StageWorker voice(int number) throws IOException {
		return new StageWorker("voices-" + number, "voices", "zone-a", this.store, this.record, this.results, 40, 5);
	}

	private void crashSome() throws IOException, InterruptedException {
		for (int crash = 0; crash < CRASHES; crash++) {
			if (this.trouble) {
				StageWorker crashed = this.voices.stream().max(Comparator.comparing(this.results::heldBy)).orElseThrow();
				this.voices.remove(crashed);
				this.record.line("worker %s crashes, with %d results", crashed.id, this.results.heldBy(crashed));
				crashed.crash();
				Thread.sleep(3600);
				crashed.unregister();
				Thread.sleep(DOWN_MILLIS - 3600);
				StageWorker next = voice(4 + crash);
				this.voices.add(next);
				next.register();
				this.record.line("worker %s starts", next.id);
			}
			else {
				Thread.sleep(DOWN_MILLIS);
			}
			Thread.sleep(CRASH_INTERVAL_SECONDS * 1000 - DOWN_MILLIS);
		}
	}

	private void sendAll(ExecutorService threads) {
		try {
			for (int tick = 0; !this.ended; tick++) {
				int route = (tick % 4 == 0) ? 0 : 1;
				InstanceProcess instance = this.instances.get(this.random.nextInt(this.instances.size()));
				String attempt = "%016x".formatted(this.random.nextLong());
				threads.execute(() -> ask(route, instance, attempt));
				Thread.sleep(1000 * 3 / REQUESTS_PER_SECOND / 4);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void ask(int route, InstanceProcess instance, String attempt) {
		boolean counted = this.calm;
		this.record.line("request %s sent to %d, route %s", attempt, instance.front, (route == 0) ? "look" : "summary");
		Requester.Answer answer = (route == 0)
				? Requester.post(instance.front, "pipelines.example", "/look/a", attempt, 2000, Map.of(), "")
				: Requester.post(instance.front, "pipelines.example", "/summary/a", attempt, 5000,
						Map.of("Wagtailmux-Model", "m", "Wagtailmux-Token-Counts", "100,20", "Wagtailmux-Prompt-Prefix",
								attempt.substring(0, 8) + ":100", "Wagtailmux-Pieces", "1,8,3", "Wagtailmux-Piece-Key",
								attempt.substring(4)),
						"page");
		this.record.line("request %s answered %d after %.3f s", attempt, answer.status(), answer.seconds());
		if (counted) {
			this.asked[route].incrementAndGet();
			if (answer.served()) {
				this.served[route].incrementAndGet();
			}
		}
	}

	/** Returns whether the requests on the later route are served a quarter as often as those on the first one. */
	private boolean judge() {
		String text = "in the calm at the end, first route: %d requests, %d served; later route: %d requests, %d served"
			.formatted(this.asked[0].get(), this.served[0].get(), this.asked[1].get(), this.served[1].get());
		this.record.line("%s", text);
		System.out.println(text);
		if (this.asked[1].get() < 20 || this.served[0].get() * 2 < this.asked[0].get()) {
			throw new IllegalStateException("the first route is not served, or too few requests on the later one");
		}
		double first = (double) this.served[0].get() / this.asked[0].get();
		double later = (double) this.served[1].get() / this.asked[1].get();
		return later >= first / 4;
	}

}
