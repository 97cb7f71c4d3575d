package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: rows, conditional writes and the feed of changes, in memory. */
final class Store implements AutoCloseable {

	record Row(String table, String key, String value, long version, boolean deleted) {
	}

	private static final Pattern ROW = Pattern.compile("\\{([^{}]*)\\}");

	private final HttpServer server;

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private final List<Row> changes = new ArrayList<>();

	private long counter;

	/** Rows that a read returns at most, as the protocol says. */
	private static final int PAGE_ROWS = 500;

	private static final long ANSWER_MILLIS = 4;

	private volatile Runnable onRead = () -> {
	};

	Store() throws IOException {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/v1/rows-get", this::get);
		this.server.createContext("/v1/rows-feed", this::feed);
		this.server.createContext("/v1/rows-tx", this::transact);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Sets what is run, on a thread of its own, at the next read of any table. */
	void onNextRead(Runnable action) {
		this.onRead = action;
	}

	private synchronized Runnable takeAction() {
		Runnable action = this.onRead;
		this.onRead = () -> {
		};
		return action;
	}

	synchronized void put(String table, String key, String text) {
		apply(new Row(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
				++this.counter, false));
	}

	synchronized void remove(String table, String key) {
		apply(new Row(table, key, "", ++this.counter, true));
	}

	private void apply(Row row) {
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(row.table(), (ignored) -> new TreeMap<>());
		if (row.deleted()) {
			rows.remove(row.key());
		}
		else {
			rows.put(row.key(), row);
		}
		this.changes.add(row);
		notifyAll();
	}

	private void get(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		takeAction().run();
		Tools.record("read of table " + query.get("table") + " from '" + query.getOrDefault("from", "").trim() + "'");
		pause();
		List<Row> found = new ArrayList<>();
		long version;
		boolean more;
		synchronized (this) {
			String from = query.getOrDefault("from", "");
			int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
			found.addAll(this.tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from, true).values());
			more = found.size() > limit;
			found = found.subList(0, Math.min(found.size(), limit));
			version = this.counter;
		}
		answer(exchange, 200, page(found, version, more));
	}

	private void feed(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		long after = Long.parseLong(query.get("after"));
		long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
		List<Row> found = new ArrayList<>();
		long version;
		synchronized (this) {
			while (true) {
				for (Row row : this.changes) {
					if (row.version() > after && row.table().equals(query.get("table"))) {
						found.add(row);
					}
				}
				long left = (until - System.nanoTime()) / 1_000_000;
				if (!found.isEmpty() || left <= 0) {
					break;
				}
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					break;
				}
			}
			version = this.counter;
		}
		answer(exchange, 200, page(found, version, false));
	}

	private void transact(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		List<Map<String, String>> conditions = rows(body, "expectedRevision");
		String answer;
		int status = 200;
		synchronized (this) {
			List<Row> current = new ArrayList<>();
			boolean holds = true;
			for (Map<String, String> condition : conditions) {
				Row row = this.tables.getOrDefault(condition.get("table"), new TreeMap<>()).get(condition.get("key"));
				holds &= Long.parseLong(condition.get("rowVersion")) == ((row != null) ? row.version() : 0);
				if (row != null) {
					current.add(row);
				}
			}
			if (holds) {
				long version = ++this.counter;
				for (Map<String, String> row : rows(body, "writes")) {
					apply(new Row(row.get("table"), row.get("key"), row.get("value"), version, false));
				}
				for (Map<String, String> row : rows(body, "removals")) {
					apply(new Row(row.get("table"), row.get("key"), "", version, true));
				}
				answer = page(List.of(), version, false);
			}
			else {
				status = 412;
				answer = page(current, this.counter, false);
			}
		}
		answer(exchange, status, answer);
	}

	private static List<Map<String, String>> rows(String body, String field) {
		List<Map<String, String>> rows = new ArrayList<>();
		Matcher list = Pattern.compile("\"" + field + "\":\\[(.*?)\\]").matcher(body);
		if (!list.find()) {
			return rows;
		}
		Matcher row = ROW.matcher(list.group(1));
		while (row.find()) {
			Map<String, String> fields = new HashMap<>();
			Matcher each = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(\\d+))").matcher(row.group(1));
			while (each.find()) {
				String text = (each.group(2) != null) ? each.group(2) : each.group(3);
				fields.put(each.group(1), text.replace("\\u003d", "="));
			}
			rows.add(fields);
		}
		return rows;
	}

	private static String page(List<Row> rows, long version, boolean more) {
		StringBuilder text = new StringBuilder("{\"rows\":[");
		for (Row row : rows) {
			if (text.charAt(text.length() - 1) == '}') {
				text.append(',');
			}
			text.append("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"key\":\"" + row.key() + "\",\"value\":\""
					+ row.value() + "\",\"rowVersion\":" + row.version()
					+ (row.deleted() ? ",\"deleted\":true" : "") + "}");
		}
		return text + "],\"hasMore\":" + more + ",\"rowVersion\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000
				+ "}";
	}

	private static void pause() {
		try {
			Thread.sleep(ANSWER_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
			String[] pair = part.split("=", 2);
			query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
		}
		return query;
	}

	private static void answer(HttpExchange exchange, int status, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
