package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

	/** The head of a request or of a response; names of headers in lower case. */
	record Head(String first, Map<String, String> headers) {

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	private Http() {
	}

	/** Returns the next head; null if the connection ended before its first byte. */
	static Head head(BufferedInputStream in) throws IOException {
		String first = line(in, true);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		String line = line(in, false);
		while (!line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			line = line(in, false);
		}
		return new Head(first, headers);
	}

	static byte[] body(BufferedInputStream in, Head head) throws IOException {
		if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			byte[] chunk = chunk(in);
			while (chunk.length > 0) {
				body.write(chunk);
				chunk = chunk(in);
			}
			return body.toByteArray();
		}
		String length = head.header("content-length");
		return exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
	}

	/** Returns the next chunk; an empty one is the last. */
	static byte[] chunk(BufferedInputStream in) throws IOException {
		int length = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
		byte[] chunk = exactly(in, length);
		line(in, false);
		return chunk;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection ended within a body");
		}
		return bytes;
	}

	private static String line(InputStream in, boolean mayEnd) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0 && mayEnd) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("connection ended within a head");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
