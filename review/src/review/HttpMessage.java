package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * One HTTP/1.1 request or response, read from a connection.
 */
final class HttpMessage {

	final String startLine;

	final Map<String, String> headers;

	final byte[] body;

	private HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
		this.startLine = startLine;
		this.headers = headers;
		this.body = body;
	}

	/**
	 * Reads a message.
	 * @param in the connection
	 * @return the message; null if the connection ended before its first byte
	 */
	static HttpMessage read(InputStream in) throws IOException {
		String start = line(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = line(in); !"".equals(line); line = line(in)) {
			if (line == null) {
				throw new EOFException("in the head");
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("in the body");
				}
				int length = Integer.parseInt(size.trim(), 16);
				body.write(exactly(in, length));
				line(in);
				if (length == 0) {
					break;
				}
			}
		}
		else {
			body.write(exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
		}
		return new HttpMessage(start, headers, body.toByteArray());
	}

	int status() {
		return Integer.parseInt(this.startLine.split(" ")[1]);
	}

	String method() {
		return this.startLine.split(" ")[0];
	}

	String path() {
		return this.startLine.split(" ")[1];
	}

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("in the body");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("in a line");
			}
			if (next != '\r') {
				bytes.write(next);
			}
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
