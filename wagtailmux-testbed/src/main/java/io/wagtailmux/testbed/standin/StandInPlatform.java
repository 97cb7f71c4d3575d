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
 * protocol) and the list of instances (HTTP service discovery), all served on one port.
 * Requests are distinguished by their headers and paths. Safe for use by several threads.
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
	 * Starts a platform whose services are empty.
	 * @param port the port to listen on, or zero for a free port
	 * @throws StandInException if it cannot listen on the port
	 */
	public StandInPlatform(int port) {
		this.server = new StandInServer(port, this::handle);
	}

	/**
	 * Returns the addresses of its services.
	 * @param timeout the timeout of each call to a service
	 * @return the addresses
	 */
	public PlatformAddresses addresses(Duration timeout) {
		URI base = this.server.address();
		return new PlatformAddresses(base, "wagtailmux", base, "wagtailmux", base.resolve("/instances"), timeout);
	}

	/**
	 * Sets the operating mode, which applies to requests that arrive from then on.
	 * @param newMode the mode
	 */
	public void setMode(PlatformMode newMode) {
		this.mode = newMode;
	}

	/**
	 * Sets the delay of each request to any of the services, before it is processed.
	 * @param time the delay; zero for none
	 */
	public void setDelay(Duration time) {
		this.delay = time;
	}

	/**
	 * Adds an instance to the list of instances.
	 * @param id the id of the instance
	 * @param zone the id of its availability zone
	 * @param peerPort the port on the loopback address on which it listens for peers
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
	 * Removes an instance from the list of instances.
	 * @param id the id of the instance
	 */
	public void removeInstance(String id) {
		this.instances.remove(id);
	}

	/**
	 * Returns the number of read operations on the table.
	 * @return the number of operations
	 */
	public long reads() {
		return this.reads.get();
	}

	/**
	 * Returns the number of transactions on the table, cancelled and repeated ones
	 * included.
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
		if (!current.processesRequests()) {
			exchange.close();
			return;
		}
		PlatformAnswer answer = process(exchange, body);
		if (!current.sendsResponses()) {
			exchange.close();
			return;
		}
		exchange.getResponseHeaders().set("Content-Type", answer.type());
		exchange.getResponseHeaders().set("ETag", "\"object\"");
		Answers.send(exchange, answer.status(), answer.body());
	}

	private PlatformAnswer process(HttpExchange exchange, byte[] body) {
		String target = exchange.getRequestHeaders().getFirst("X-Amz-Target");
		if (target != null) {
			return executeOnTable(target.substring(TARGET_PREFIX.length()), new String(body, StandardCharsets.UTF_8));
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

	private PlatformAnswer executeOnTable(String operation, String body) {
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
