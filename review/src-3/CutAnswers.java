import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * One machine is partitioned from all workers while requesters, the store and the other machines reach it. The workers'
 * answers have neither a length nor chunks and end with their channel.
 */
final class CutAnswers {

	static final int CUT_MILLIS = 10_000;

	static final int CONTACT_MILLIS = 3_000;

	static final int CALLERS = 9;

	static final int PAUSE_MILLIS = 150;

	/** For a comparison by hand: answers with a length. */
	static final boolean FRAMED = Boolean.getBoolean("framed");

	record Call(int instance, double sentAt, String outcome, String attempt) {
	}

	static final Queue<Call> CALLS = new ConcurrentLinkedQueue<>();

	static final Set<String> RUN = ConcurrentHashMap.newKeySet();

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
			workers.add(bed.new Worker("i-desk-" + index, "desk", (index <= 2) ? "zone-a" : "zone-b", 6,
					CutAnswers::work));
		}
		bed.store.put("op", "config", "{\"version\":1,\"routes\":["
				+ "{\"name\":\"renewal\",\"host\":\"pipelines.example\",\"prefix\":\"/renew/\",\"kind\":\"non_idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1},"
				+ "{\"name\":\"lookup\",\"host\":\"pipelines.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
				+ "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":96,"
				+ "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
				+ "\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
		Map<String, Bed.Proxy> proxies = new HashMap<>();
		for (Bed.Worker worker : workers) {
			proxies.put("\"" + Bed.LOOPBACK + ":" + worker.port() + "\"", new Bed.Proxy(worker.port()));
		}
		int storePort = bed.store.portShowing((entry) -> {
			for (Map.Entry<String, Bed.Proxy> proxy : proxies.entrySet()) {
				entry = entry.replace(proxy.getKey(), "\"" + Bed.LOOPBACK + ":" + proxy.getValue().port() + "\"");
			}
			return entry;
		});
		bed.store.startTogether(3);
		List<Bed.Instance> instances = List.of(bed.startInstance("front-a-1", "zone-a", storePort),
				bed.startInstance("front-a-2", "zone-a", bed.store.port()),
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
		double cutAt = bed.now();
		if (Bed.trouble()) {
			bed.log("front-a-1 is cut off from all workers");
			for (Bed.Proxy proxy : proxies.values()) {
				proxy.cut();
			}
		}
		Bed.sleep(CUT_MILLIS);
		double healedAt = bed.now();
		if (Bed.trouble()) {
			for (Bed.Proxy proxy : proxies.values()) {
				proxy.heal();
			}
			bed.log("front-a-1 reaches the workers again");
		}
		Bed.sleep(4_000);
		ended.set(true);
		for (Thread thread : threads) {
			thread.join(8_000);
		}
		long[] sent = new long[2];
		long[] served = new long[2];
		Map<String, Integer> outcomes = new TreeMap<>();
		for (Call call : CALLS) {
			if (call.sentAt() >= cutAt + CONTACT_MILLIS && call.sentAt() < healedAt - 500) {
				int where = (call.instance() == 0) ? 0 : 1;
				sent[where]++;
				served[where] += call.outcome().equals("200") ? 1 : 0;
				outcomes.merge((where == 0 ? "cut machine: " : "others: ") + call.outcome()
						+ (RUN.contains(call.attempt()) ? ", run" : ", not run"), 1, Integer::sum);
			}
		}
		outcomes.forEach((outcome, count) -> bed.log("%s: %d", outcome, count));
		long failed = sent[0] - served[0];
		double allowed = 10 + (sent[0] + sent[1]) / 50.0;
		double share = served[0] / (double) Math.max(1, sent[0]);
		double shareOfOthers = served[1] / (double) Math.max(1, sent[1]);
		bed.log("served at the cut machine: %.3f, at the others: %.3f; failed first tries there: %d, allowed %.1f", share,
				shareOfOthers, failed, allowed);
		System.out.println(outcomes);
		boolean broken = share < shareOfOthers * 2 / 3 && failed > allowed;
		bed.exit(broken ? 1 : shareOfOthers > 0.5 ? 0 : 2);
	}

	private static void work(Bed.Worker worker, Socket socket, Bed.Http.Message request) throws Exception {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		RUN.add(attempt);
		Thread.sleep(20);
		if (FRAMED) {
			worker.answer(socket, attempt, 200, "", "done".getBytes());
			return;
		}
		socket.getOutputStream()
			.write(("HTTP/1.1 200 OK\r\nWagtailmux-Attempt-Id: " + attempt + "\r\nWagtailmux-Response-Signature: s."
					+ attempt + "\r\nConnection: close\r\n\r\ndone")
				.getBytes());
		socket.shutdownOutput();
		throw new EOFException("answered");
	}

	private static void caller(Bed bed, List<Bed.Instance> instances, int number, AtomicBoolean ended) {
		int instance = number % instances.size();
		int count = 0;
		while (!ended.get()) {
			String attempt = "r" + number + "-" + count++;
			String path = (count % 2 == 0) ? "/look/x" : "/renew/x";
			double sentAt = bed.now();
			String outcome;
			try (Socket socket = new Socket(Bed.LOOPBACK, instances.get(instance).front)) {
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(6_000);
				socket.getOutputStream().write(Bed.request((count % 2 == 0) ? "GET" : "POST", path, attempt, 2_500, "",
						(count % 2 == 0) ? -1 : 0).getBytes());
				Bed.Http.Message answer = Bed.Http.read(socket.getInputStream(), true);
				outcome = (answer == null || !answer.complete()) ? "closed" : "" + answer.status();
			}
			catch (IOException ex) {
				outcome = "closed";
			}
			CALLS.add(new Call(instance, sentAt, outcome, attempt));
			bed.log("%s at %s %s: %s, %s", attempt, instances.get(instance).name, path, outcome,
					RUN.contains(attempt) ? "run" : "not run");
			Bed.sleep(PAUSE_MILLIS);
		}
	}

}
