package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A worker that answers plain requests.
 */
final class PlainWorker extends Worker {

	private final int workMillis;

	final List<String> runs = new CopyOnWriteArrayList<>();

	private final int slots;

	PlainWorker(String id, String service, String zone, StoreStandIn store, Record record, int workMillis)
			throws IOException {
		this(id, service, zone, store, record, workMillis, 16);
	}

	PlainWorker(String id, String service, String zone, StoreStandIn store, Record record, int workMillis, int slots)
			throws IOException {
		super(id, service, zone, store, record);
		this.workMillis = workMillis;
		this.slots = slots;
	}

	@Override
	int slots() {
		return this.slots;
	}

	@Override
	boolean answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
		String attempt = request.header("Wagtailmux-Attempt-Id");
		this.runs.add(attempt);
		this.record.line("worker %s runs %s", this.id, attempt);
		Thread.sleep(this.workMillis);
		send(out, response(200, "Wagtailmux-Attempt-Id: " + attempt + "\r\nWagtailmux-Response-Signature: " + this.id
				+ "." + attempt + "\r\n", "done " + attempt));
		return true;
	}

}
