package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: rows with versions, conditional transactions and feeds. Only the
 * part with the empty name is kept.
 */
final class StoreStandIn implements AutoCloseable {

	private record Row(String key, String value, long version, boolean deleted) {
	}

	private final HttpServer server;

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private long version;

	private boolean closed;

	StoreStandIn() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/v1/rows-tx", (call) -> answer(call, this::transaction));
		this.server.createContext("/v1/rows-get", (call) -> answer(call, this::read));
		this.server.createContext("/v1/rows-feed", (call) -> answer(call, this::feed));
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Writes a row as the operator or a worker does. */
	synchronized void put(String table, String key, String text) {
		String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
		table(table).put(key, new Row(key, value, ++this.version, false));
		notifyAll();
	}

	synchronized void remove(String table, String key) {
		table(table).put(key, new Row(key, "", ++this.version, true));
		notifyAll();
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			notifyAll();
		}
		this.server.stop(0);
	}

	private TreeMap<String, Row> table(String name) {
		return this.tables.computeIfAbsent(name, (ignored) -> new TreeMap<>());
	}

	private interface Handler {

		int handle(Map<String, String> query, JsonObject body, JsonObject answer) throws Exception;

	}

	private void answer(HttpExchange call, Handler handler) throws IOException {
		try (call) {
			String text = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			JsonObject body = text.isEmpty() ? new JsonObject() : JsonParser.parseString(text).getAsJsonObject();
			Map<String, String> query = new HashMap<>();
			String raw = call.getRequestURI().getRawQuery();
			for (String part : (raw != null) ? raw.split("&") : new String[0]) {
				String[] pair = part.split("=", 2);
				query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
			}
			JsonObject answer = new JsonObject();
			int status = handler.handle(query, body, answer);
			answer.addProperty("nowMs", System.nanoTime() / 1_000_000);
			byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
			call.getResponseHeaders().set("Content-Type", "application/json");
			call.sendResponseHeaders(status, bytes.length);
			call.getResponseBody().write(bytes);
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException(ex);
		}
	}

	private synchronized int transaction(Map<String, String> query, JsonObject body, JsonObject answer) {
		for (JsonElement element : body.getAsJsonArray("expectedRevision")) {
			JsonObject expected = element.getAsJsonObject();
			Row row = table(expected.get("table").getAsString()).get(expected.get("key").getAsString());
			long present = (row == null || row.deleted()) ? 0 : row.version();
			if (present != expected.get("rowVersion").getAsLong()) {
				JsonArray rows = new JsonArray();
				if (present != 0) {
					rows.add(json(row));
				}
				answer.add("rows", rows);
				answer.addProperty("rowVersion", this.version);
				return 412;
			}
		}
		for (String kind : List.of("writes", "removals")) {
			for (JsonElement element : body.getAsJsonArray(kind)) {
				String table = element.getAsJsonObject().get("table").getAsString();
				if (table.equals("op") || table.equals("servers")) {
					return 403;
				}
			}
		}
		this.version++;
		for (JsonElement element : body.getAsJsonArray("writes")) {
			JsonObject row = element.getAsJsonObject();
			String key = row.get("key").getAsString();
			table(row.get("table").getAsString()).put(key,
					new Row(key, row.get("value").getAsString(), this.version, false));
		}
		for (JsonElement element : body.getAsJsonArray("removals")) {
			JsonObject row = element.getAsJsonObject();
			String key = row.get("key").getAsString();
			table(row.get("table").getAsString()).put(key, new Row(key, "", this.version, true));
		}
		notifyAll();
		answer.addProperty("rowVersion", this.version);
		return 200;
	}

	private synchronized int read(Map<String, String> query, JsonObject body, JsonObject answer) {
		JsonArray rows = new JsonArray();
		int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
		boolean more = false;
		for (Row row : table(query.get("table")).tailMap(query.getOrDefault("from", "")).values()) {
			if (row.deleted()) {
				continue;
			}
			if (rows.size() == limit) {
				more = true;
				break;
			}
			rows.add(json(row));
		}
		answer.add("rows", rows);
		answer.addProperty("hasMore", more);
		answer.addProperty("rowVersion", this.version);
		return 200;
	}

	private synchronized int feed(Map<String, String> query, JsonObject body, JsonObject answer)
			throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long deadline = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
		List<Row> changed = changedAfter(query.get("table"), after);
		while (changed.isEmpty() && !this.closed && System.nanoTime() < deadline) {
			wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
			changed = changedAfter(query.get("table"), after);
		}
		JsonArray rows = new JsonArray();
		changed.forEach((row) -> rows.add(json(row)));
		answer.add("rows", rows);
		answer.addProperty("rowVersion", this.version);
		return 200;
	}

	private List<Row> changedAfter(String table, long after) {
		List<Row> changed = new ArrayList<>();
		for (Row row : table(table).values()) {
			if (row.version() > after) {
				changed.add(row);
			}
		}
		changed.sort((one, other) -> Long.compare(one.version(), other.version()));
		return changed;
	}

	private static JsonObject json(Row row) {
		JsonObject json = new JsonObject();
		json.addProperty("key", row.key());
		json.addProperty("rowVersion", row.version());
		if (row.deleted()) {
			json.addProperty("deleted", true);
		}
		else {
			json.addProperty("value", row.value());
		}
		return json;
	}

}
