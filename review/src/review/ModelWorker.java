package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A model worker that answers with a stream of events. It fetches the inputs that a
 * request names before it begins.
 */
final class ModelWorker extends Worker {

	/** A request that ran, with its inputs. */
	record Run(String attempt, List<String> inputs) {
	}

	private final Results results;

	private final int events;

	private final int eventMillis;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	ModelWorker(String id, String service, String zone, StoreStandIn store, Record record, Results results, int events,
			int eventMillis) throws IOException {
		super(id, service, zone, store, record);
		this.results = results;
		this.events = events;
		this.eventMillis = eventMillis;
	}

	@Override
	int slots() {
		return 64;
	}

	@Override
	boolean answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		String head = "Wagtailmux-Attempt-Id: " + attempt + "\r\n";
		List<String> inputs = new ArrayList<>();
		for (String handle : request.header("Wagtailmux-Inputs").split(",")) {
			if (!handle.isBlank()) {
				inputs.add(handle.trim());
			}
		}
		for (String handle : inputs) {
			if (!this.results.holds(handle)) {
				this.record.line("model worker %s: an input of %s is gone", this.id, attempt);
				send(out, response(409, head + "Wagtailmux-Not-Executed: 1\r\n", ""));
				return true;
			}
		}
		this.runs.add(new Run(attempt, inputs));
		StringBuilder text = new StringBuilder();
		for (String handle : inputs) {
			text.append(' ').append(this.results.piece(handle));
		}
		this.record.line("model worker %s runs %s with inputs%s", this.id, attempt, text);
		send(out, "HTTP/1.1 200 OK\r\n" + head + "Wagtailmux-Response-Signature: " + this.id + "." + attempt
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = 1; event <= this.events; event++) {
			Thread.sleep(this.eventMillis);
			String data = "id: " + event + "\ndata: " + attempt + "-" + event + "\n\n";
			send(out, Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
		}
		send(out, "0\r\n\r\n");
		return true;
	}

}
