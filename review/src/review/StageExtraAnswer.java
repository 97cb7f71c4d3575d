package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stage workers send some of their answers twice. Checks that each request gets the
 * results of its own pieces, each once.
 */
public final class StageExtraAnswer {

	private static final int INSTANCES = 3;

	private static final int STAGE_WORKERS = 4;

	private static final int GARBLING_WORKERS = 2;

	/** One answer of 34 is sent twice: a share of 0.0294. */
	private static final int EXTRA_EVERY = 34;

	private static final int WINDOWS = 4;

	private static final int REQUESTS_PER_SECOND = 35;

	private static final String CONFIGURATION = """
			{"version": 1,
			 "routes": [{"name": "summary", "host": "pipelines.example", "prefix": "/summary/", "kind": "streaming",
			   "timeoutMs": 6000, "targetLatencyMs": 1500, "maxAttempts": 2, "service": "model", "resumeStreams": true,
			   "gapTargetMs": 300, "priority": 1, "stages": [{"service": "pages", "after": [], "bytes": 8000}]}],
			 "services": [
			  {"name": "model", "healthCheckPath": "/health", "connectionLimit": 600,
			   "engine": {"slots": 64, "kvCacheTokens": 500000}},
			  {"name": "pages", "healthCheckPath": "/health", "connectionLimit": 600,
			   "pieces": {"slots": 1, "queue": 2, "batch": 4, "callMs": 100.0, "itemMs": 10.0, "headroomMb": 20.0,
			              "handleS": 8.0}}],
			 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
			""";

	private StageExtraAnswer() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Path.of(arguments[0]);
		int status = 2;
		try (Record record = new Record(folder.resolve("record.txt"))) {
			try {
				status = play(record, trouble) ? 0 : 1;
			}
			catch (IOException | IllegalStateException ex) {
				record.line("the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		System.exit(status);
	}

	private static boolean play(Record record, boolean trouble) throws IOException, InterruptedException {
		Path temporary = InstanceProcess.temporaryFolder("review-1");
		StoreStandIn store = new StoreStandIn();
		store.put("op", "config", CONFIGURATION);
		Results results = new Results();
		List<StageWorker> stageWorkers = new ArrayList<>();
		List<ModelWorker> modelWorkers = new ArrayList<>();
		for (int index = 0; index < STAGE_WORKERS; index++) {
			stageWorkers.add(new StageWorker("pages-" + index, "pages", "zone-a", store, record, results, 100, 10));
		}
		for (int index = 0; index < 2; index++) {
			modelWorkers.add(new ModelWorker("model-" + index, "model", "zone-a", store, record, results, 5, 20));
		}
		stageWorkers.forEach(Worker::register);
		modelWorkers.forEach(Worker::register);
		List<InstanceProcess> instances = new ArrayList<>();
		Map<String, Integer> pieces = new ConcurrentHashMap<>();
		try {
			for (int index = 0; index < INSTANCES; index++) {
				InstanceProcess instance = new InstanceProcess("front-" + index, "zone-a", store.port(), temporary, "");
				instance.start();
				instances.add(instance);
			}
			for (InstanceProcess instance : instances) {
				instance.awaitReady(30);
			}
			Thread.sleep(4000);
			record.line("instances are ready");
			sendAll(record, trouble, stageWorkers, instances, pieces);
		}
		finally {
			instances.forEach(InstanceProcess::close);
			stageWorkers.forEach(Worker::close);
			modelWorkers.forEach(Worker::close);
			store.close();
		}
		int extra = stageWorkers.stream().mapToInt((worker) -> worker.extraAnswers.get()).sum();
		return judge(record, modelWorkers, results, pieces, extra);
	}

	private static void sendAll(Record record, boolean trouble, List<StageWorker> stageWorkers,
			List<InstanceProcess> instances, Map<String, Integer> pieces) throws InterruptedException {
		ExecutorService threads = Executors.newCachedThreadPool();
		Random random = new Random();
		AtomicInteger served = new AtomicInteger();
		AtomicInteger asked = new AtomicInteger();
		int seconds = 4 + WINDOWS * 10;
		for (int tick = 0; tick < seconds * REQUESTS_PER_SECOND; tick++) {
			int second = tick / REQUESTS_PER_SECOND;
			boolean garbling = trouble && second >= 4 && (second - 4) % 10 < 6;
			for (int index = 0; index < GARBLING_WORKERS; index++) {
				stageWorkers.get(index).extraEvery = garbling ? EXTRA_EVERY : 0;
			}
			String attempt = "%016x".formatted(random.nextLong());
			int count = 1 + random.nextInt(4);
			pieces.put(attempt, count);
			InstanceProcess instance = instances.get(tick % instances.size());
			Map<String, String> headers = Map.of("Wagtailmux-Model", "m", "Wagtailmux-Token-Counts", "100,20",
					"Wagtailmux-Prompt-Prefix", attempt.substring(0, 8) + ":100", "Wagtailmux-Pieces",
					Integer.toString(count), "Wagtailmux-Piece-Key", attempt.substring(4));
			threads.execute(() -> {
				asked.incrementAndGet();
				record.line("request %s with %d pieces sent to %d", attempt, count, instance.front);
				Requester.Answer answer = Requester.post(instance.front, "pipelines.example", "/summary/a", attempt, 5000,
						headers, "page");
				record.line("request %s answered %d after %.3f s", attempt, answer.status(), answer.seconds());
				if (answer.served()) {
					served.incrementAndGet();
				}
			});
			Thread.sleep(1000 / REQUESTS_PER_SECOND);
		}
		threads.shutdown();
		threads.awaitTermination(8, TimeUnit.SECONDS);
		record.line("%d requests, %d served", asked.get(), served.get());
		System.out.println(asked.get() + " requests, " + served.get() + " served");
		if (served.get() * 2 < asked.get()) {
			throw new IllegalStateException("less than half of the requests were served");
		}
	}

	private static boolean judge(Record record, List<ModelWorker> modelWorkers, Results results,
			Map<String, Integer> pieces, int extra) {
		int runs = 0;
		int broken = 0;
		for (ModelWorker worker : modelWorkers) {
			for (ModelWorker.Run run : worker.runs) {
				runs++;
				List<Results.Piece> expected = new ArrayList<>();
				for (int piece = 0; piece < pieces.get(run.attempt()); piece++) {
					expected.add(new Results.Piece(run.attempt(), 0, piece));
				}
				List<Results.Piece> given = new ArrayList<>();
				run.inputs().forEach((handle) -> given.add(results.piece(handle)));
				if (given.size() != expected.size() || !given.containsAll(expected)) {
					broken++;
					record.line("MIXED: %s ran with the inputs %s", run.attempt(), given);
				}
			}
		}
		record.line("%d answers of stage workers sent twice; %d runs, %d of them with foreign inputs", extra, runs,
				broken);
		System.out.println(extra + " answers sent twice; " + runs + " runs, " + broken + " of them with foreign inputs");
		return broken == 0;
	}

}
