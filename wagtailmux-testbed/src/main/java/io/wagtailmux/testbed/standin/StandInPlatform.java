package io.wagtailmux.testbed.standin;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;

import io.wagtailmux.store.PlatformAddresses;

/**
 * A stand-in of the platform: the table (DynamoDB protocol), the object store (S3
 * protocol) and the list of instances (HTTP service discovery), each on a path of its
 * own.
 *
 * @author the wagtailmux developers
 */
public final class StandInPlatform implements AutoCloseable {

	private static final String TARGET_PREFIX = "DynamoDB_20120810.";

	private final StandInTable table = new StandInTable();

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final Map<String, JsonObject> instances = new ConcurrentHashMap<>();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong writes = new AtomicLong();

	private volatile PlatformMode mode = PlatformMode.UP;

	private volatile Duration delay = Duration.ZERO;

	private final StandInServer server;

	/**
	 * Starts a platform without records.
	 * @param port the port, or zero for any
	 */
	public StandInPlatform(int port) {
		this.server = new StandInServer(port, this::handle);
	}

	/**
	 * Returns where its services are.
	 * @param timeout how long one call may take
	 * @return the addresses
	 */
	public PlatformAddresses addresses(Duration timeout) {
		URI base = this.server.address();
		return new PlatformAddresses(base, "wagtailmux", base, "wagtailmux", base.resolve("/instances"), timeout);
	}

	/**
	 * Changes how it behaves.
	 * @param next the state
	 */
	public void setMode(PlatformMode next) {
		this.mode = next;
	}

	/**
	 * Makes each operation take longer.
	 * @param time how much longer
	 */
	public void setDelay(Duration time) {
		this.delay = time;
	}

	/**
	 * Puts an instance on the list.
	 * @param id the instance's id
	 * @param zone its availability zone
	 * @param peerPort where it takes part in the peer exchange
	 */
	public void addInstance(String id, String zone, int peerPort) {
		JsonArray targets = new JsonArray();
		targets.add("127.0.0.1:" + peerPort);
		JsonObject labels = new JsonObject();
		labels.addProperty("instance", id);
		labels.addProperty("availability_zone", zone);
		labels.addProperty("leaving", "false");
		JsonObject group = new JsonObject();
		group.add("targets", targets);
		group.add("labels", labels);
		this.instances.put(id, group);
	}

	/**
	 * Takes an instance off the list.
	 * @param id the instance's id
	 */
	public void removeInstance(String id) {
		this.instances.remove(id);
	}

	/**
	 * Returns how many reads of the table it served.
	 * @return the number of reads
	 */
	public long reads() {
		return this.reads.get();
	}

	/**
	 * Returns how many transactions it served.
	 * @return the number of transactions
	 */
	public long writes() {
		return this.writes.get();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(HttpExchange exchange) throws IOException {
		PlatformMode current = this.mode;
		byte[] body = exchange.getRequestBody().readAllBytes();
		try {
			Thread.sleep(this.delay.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (!current.acts()) {
			exchange.close();
			return;
		}
		PlatformAnswer answer = act(exchange, body);
		if (!current.answers()) {
			exchange.close();
			return;
		}
		exchange.getResponseHeaders().set("Content-Type", answer.type());
		exchange.getResponseHeaders().set("ETag", "\"object\"");
		Answers.send(exchange, answer.status(), answer.body());
	}

	private PlatformAnswer act(HttpExchange exchange, byte[] body) {
		String target = exchange.getRequestHeaders().getFirst("X-Amz-Target");
		if (target != null) {
			return operate(target.substring(TARGET_PREFIX.length()), new String(body, StandardCharsets.UTF_8));
		}
		String path = exchange.getRequestURI().getPath();
		if ("/instances".equals(path)) {
			JsonArray list = new JsonArray();
			this.instances.values().forEach(list::add);
			return PlatformAnswer.json(200, list.toString());
		}
		if ("PUT".equals(exchange.getRequestMethod())) {
			this.objects.put(path, body);
			return new PlatformAnswer(200, "application/xml", new byte[0]);
		}
		byte[] object = this.objects.get(path);
		return (object != null) ? new PlatformAnswer(200, "application/octet-stream", object)
				: PlatformAnswer.xml(404, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>");
	}

	private PlatformAnswer operate(String operation, String body) {
		boolean write = operation.startsWith("Transact");
		(write ? this.writes : this.reads).incrementAndGet();
		JsonObject answer = this.table.execute(operation, JsonParser.parseString(body).getAsJsonObject());
		return PlatformAnswer.json(answer.has("__type") ? 400 : 200, answer.toString());
	}

	private record PlatformAnswer(int status, String type, byte[] body) {

		static PlatformAnswer json(int status, String text) {
			return new PlatformAnswer(status, "application/x-amz-json-1.0", text.getBytes(StandardCharsets.UTF_8));
		}

		static PlatformAnswer xml(int status, String text) {
			return new PlatformAnswer(status, "application/xml", text.getBytes(StandardCharsets.UTF_8));
		}

	}

}
