package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The only tenant loses its last key. Checks that no request runs whose key no
 * configuration ever held, and none with the key that was taken away.
 */
public final class RevokedKeys {

	private static final int INSTANCES = 2;

	private static final int REQUESTS = 60;

	/** The time after a confirmation from which the configuration must be in force, doubled. */
	private static final int APPLIED_MILLIS = 4000;

	private static final String KEY = "9dnn2ctnfzs989anu6ws";

	private static final String STRANGER = "nobody2handed2this2key";

	private static final String CONFIGURATION = """
			{"version": %d,
			 "routes": [{"name": "renewal", "host": "pipelines.example", "prefix": "/renewal/", "kind": "non_idempotent",
			   "timeoutMs": 3000, "targetLatencyMs": 300, "maxAttempts": 1, "service": "desk"}],
			 "services": [{"name": "desk", "healthCheckPath": "/health", "connectionLimit": 100}],
			 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			 "tenants": [{"name": "listeners", "apiKeys": [%s], "priority": 1}]}
			""";

	private RevokedKeys() {
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
		Path temporary = InstanceProcess.temporaryFolder("review-2");
		StoreStandIn store = new StoreStandIn();
		List<PlainWorker> workers = new ArrayList<>();
		List<InstanceProcess> instances = new ArrayList<>();
		try {
			store.put("op", "config", CONFIGURATION.formatted(3, "\"" + KEY + "\""));
			for (int index = 0; index < 2; index++) {
				PlainWorker worker = new PlainWorker("desk-" + index, "desk", "zone-a", store, record, 15);
				workers.add(worker);
				worker.register();
			}
			for (int index = 0; index < INSTANCES; index++) {
				InstanceProcess instance = new InstanceProcess("front-" + index, "zone-a", store.port(), temporary, "");
				instance.start();
				instances.add(instance);
			}
			for (InstanceProcess instance : instances) {
				instance.awaitReady(30);
			}
			Thread.sleep(3000);
			Set<String> owned = send(record, instances, KEY, "the tenant's key");
			Set<String> foreign = send(record, instances, STRANGER, "a key that no configuration ever held");
			if (count(workers, owned) < REQUESTS || count(workers, foreign) > 0) {
				throw new IllegalStateException("keys are not checked as long as there is one");
			}
			if (trouble) {
				store.put("op", "config", CONFIGURATION.formatted(8, ""));
				record.line("version 8 confirmed, in which the tenant has no key any more");
			}
			Thread.sleep(APPLIED_MILLIS);
			Set<String> revoked = send(record, instances, KEY, "the tenant's key");
			Set<String> strangers = send(record, instances, STRANGER, "a key that no configuration ever held");
			Thread.sleep(1000);
			String text = "at the end workers ran %d of %d requests with the tenant's key and %d of %d with a stranger's"
				.formatted(count(workers, revoked), REQUESTS, count(workers, strangers), REQUESTS);
			record.line("%s", text);
			System.out.println(text);
			return count(workers, strangers) == 0;
		}
		finally {
			instances.forEach(InstanceProcess::close);
			workers.forEach(Worker::close);
			store.close();
		}
	}

	private static int count(List<PlainWorker> workers, Set<String> attempts) {
		return (int) workers.stream().flatMap((worker) -> worker.runs.stream()).filter(attempts::contains).count();
	}

	private static Set<String> send(Record record, List<InstanceProcess> instances, String key, String what)
			throws InterruptedException {
		Random random = new Random();
		Set<String> attempts = new HashSet<>();
		for (int index = 0; index < REQUESTS; index++) {
			String attempt = "%016x".formatted(random.nextLong());
			attempts.add(attempt);
			Requester.Answer answer = Requester.post(instances.get(index % instances.size()).front, "pipelines.example",
					"/renewal/a", attempt, 2000, Map.of("X-Api-Key", key), "renew");
			record.line("request %s with %s answered %d", attempt, what, answer.status());
		}
		return attempts;
	}

}
