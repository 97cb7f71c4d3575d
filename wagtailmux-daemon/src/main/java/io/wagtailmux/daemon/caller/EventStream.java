package io.wagtailmux.daemon.caller;

import java.nio.charset.StandardCharsets;

import com.google.gson.JsonObject;
import io.jooby.Context;
import io.jooby.Sender;

import io.wagtailmux.daemon.endpoint.TokenSink;

/**
 * Response in the form of server-sent events: one {@code token} event for each token,
 * then one {@code answer} or {@code problem} event. The response starts with the first
 * event; a request that fails before that gets an ordinary error response. A disconnected
 * caller is noticed when a write fails.
 *
 * @author the wagtailmux developers
 */
final class EventStream implements TokenSink {

	private final Context context;

	private Sender sender;

	private volatile boolean disconnected;

	EventStream(Context context) {
		this.context = context;
	}

	@Override
	public boolean accept(int number, String token) {
		JsonObject data = new JsonObject();
		data.addProperty("token", token);
		write("id: " + number + "\nevent: token\ndata: " + data + "\n\n");
		return !this.disconnected;
	}

	/**
	 * Returns whether the response has started.
	 * @return whether an event was written
	 */
	boolean started() {
		return this.sender != null;
	}

	/**
	 * Writes the last event and ends the response.
	 * @param event the type of the event: {@code answer} or {@code problem}
	 * @param data the data of the event
	 */
	void end(String event, JsonObject data) {
		write("event: " + event + "\ndata: " + data + "\n\n");
		this.sender.close();
	}

	private void write(String text) {
		if (this.sender == null) {
			this.context.setResponseType("text/event-stream");
			this.context.setResponseHeader("Cache-Control", "no-store");
			this.sender = this.context.responseSender();
		}
		this.sender.write(text.getBytes(StandardCharsets.UTF_8),
				(ctx, failure) -> this.disconnected |= failure != null);
	}

}
