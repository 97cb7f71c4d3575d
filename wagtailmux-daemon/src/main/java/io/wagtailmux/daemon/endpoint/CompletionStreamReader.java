package io.wagtailmux.daemon.endpoint;

import java.io.IOException;
import java.io.InterruptedIOException;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import okhttp3.Call;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;

/**
 * Reads a streamed completion into a {@link TokenStream}. The stream is complete only if
 * it ends with the event {@code [DONE]}; the end of the connection alone does not show
 * that.
 *
 * @author the wagtailmux developers
 */
final class CompletionStreamReader extends EventSourceListener {

	private static final String DONE = "[DONE]";

	private final TokenStream stream;

	private final Call call;

	private boolean done;

	private boolean stopped;

	private InterruptedIOException timeout;

	private String problem = "the stream ended without " + DONE;

	CompletionStreamReader(TokenStream stream, Call call) {
		this.stream = stream;
		this.call = call;
	}

	/**
	 * Reads events until the stream ends or is cancelled; blocks meanwhile.
	 * @param response the response whose body is the stream
	 * @throws InterruptedIOException if the call timed out
	 * @throws IOException if the stream ends early, is malformed, lacks a token, or its
	 * consumer no longer accepts tokens
	 */
	void read(Response response) throws IOException {
		EventSources.processResponse(response, this);
		if (this.timeout != null) {
			throw this.timeout;
		}
		if (!this.done) {
			throw new IOException(this.problem);
		}
	}

	@Override
	public void onEvent(EventSource source, String id, String type, String data) {
		if (DONE.equals(data)) {
			this.done = true;
			return;
		}
		try {
			JsonObject chunk = JsonParser.parseString(data).getAsJsonObject();
			String text = chunk.getAsJsonArray("choices").get(0).getAsJsonObject().get("text").getAsString();
			appendToken(Integer.parseInt(id), text);
		}
		catch (RuntimeException ex) {
			stop("malformed event: " + ex.getMessage());
		}
	}

	@Override
	public void onFailure(EventSource source, Throwable failure, Response response) {
		if (failure instanceof InterruptedIOException interrupted) {
			this.timeout = interrupted;
		}
		else if (failure != null && !this.stopped) {
			this.problem = failure.toString();
		}
	}

	private void appendToken(int number, String text) {
		if (!this.stream.append(number, text)) {
			stop("token " + number + " received, but token " + this.stream.receivedTokens() + " was expected");
		}
		else if (!this.stream.isAccepting()) {
			stop("consumer no longer accepts tokens");
		}
	}

	private void stop(String reason) {
		this.problem = reason;
		this.stopped = true;
		this.call.cancel();
	}

}
