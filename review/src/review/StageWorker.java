package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/**
 * A worker that makes pieces: one call at a time, in the order in which they came; two
 * more may wait.
 */
final class StageWorker extends Worker {

	private static final int QUEUE = 2;

	private final Results results;

	private final int callMillis;

	private final int itemMillis;

	private final ReentrantLock slot = new ReentrantLock(true);

	private final Semaphore places = new Semaphore(1 + QUEUE);

	private final Random random = new Random();

	private final AtomicInteger answers = new AtomicInteger();

	final AtomicInteger extraAnswers = new AtomicInteger();

	/** Each answer with this number in a row is sent twice; zero for none. */
	volatile int extraEvery;

	/** By how much the work of a call is slowed down. */
	volatile double slowness = 1;

	StageWorker(String id, String service, String zone, StoreStandIn store, Record record, Results results,
			int callMillis, int itemMillis) throws IOException {
		super(id, service, zone, store, record);
		this.results = results;
		this.callMillis = callMillis;
		this.itemMillis = itemMillis;
	}

	@Override
	int slots() {
		return 1;
	}

	@Override
	boolean answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
		JsonObject body = JsonParser.parseString(request.text()).getAsJsonObject();
		if (request.path().equals("/v1/stage-free")) {
			body.getAsJsonArray("handles").forEach((handle) -> this.results.free(handle.getAsString(), this));
			send(out, response(200, "Content-Type: application/json\r\n", "{}"));
			return true;
		}
		if (!this.places.tryAcquire()) {
			send(out, response(503, "Wagtailmux-Not-Executed: 1\r\n", ""));
			return true;
		}
		String answer;
		this.slot.lock();
		try {
			answer = run(body.getAsJsonArray("items"));
		}
		finally {
			this.slot.unlock();
			this.places.release();
		}
		if (this.crashed) {
			return false;
		}
		String load = "Content-Type: application/json\r\nWagtailmux-Server-Load: 0,0,1\r\n";
		String bytes = response(200, load, answer);
		int every = this.extraEvery;
		if (every > 0 && this.answers.incrementAndGet() % every == 0) {
			this.extraAnswers.incrementAndGet();
			this.record.line("stage worker %s sends its answer twice", this.id);
			bytes = bytes + bytes;
		}
		send(out, bytes);
		return true;
	}

	private String run(JsonArray items) throws InterruptedException {
		List<Boolean> inputsHeld = new ArrayList<>();
		for (JsonElement element : items) {
			JsonArray inputs = element.getAsJsonObject().getAsJsonArray("inputs");
			boolean held = true;
			if (inputs != null) {
				for (JsonElement input : inputs) {
					held &= this.results.holds(input.getAsString());
				}
			}
			inputsHeld.add(held);
		}
		Thread.sleep((long) ((this.callMillis + this.itemMillis * items.size()) * this.slowness));
		JsonArray outcomes = new JsonArray();
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < items.size(); index++) {
			JsonObject item = items.get(index).getAsJsonObject();
			Results.Piece piece = new Results.Piece(item.get("id").getAsString(), item.get("stage").getAsInt(),
					item.get("piece").getAsInt());
			JsonObject outcome = new JsonObject();
			if (inputsHeld.get(index)) {
				String handle = address() + "/" + Long.toHexString(this.random.nextLong());
				this.results.add(handle, piece, this);
				outcome.addProperty("handle", handle);
			}
			else {
				outcome.addProperty("reason", "gone");
			}
			outcomes.add(outcome);
			text.append(' ').append(piece.attempt()).append('/').append(piece.stage()).append('/').append(piece.piece());
			text.append(inputsHeld.get(index) ? "" : "(gone)");
		}
		this.record.line("stage worker %s ran%s", this.id, text);
		JsonObject answer = new JsonObject();
		answer.add("items", outcomes);
		return answer.toString();
	}

}
