package io.wagtailmux.engine.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

import io.wagtailmux.engine.EngineContext;

/**
 * Forwards the event stream of one response to the caller. If an endpoint fails midway,
 * another endpoint may continue the stream.
 *
 * <p>
 * The head sent to the caller is that of the endpoint with the first complete event, and
 * is sent with that event. Nothing of an endpoint that fails earlier reaches the caller.
 * Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class ResponseStream {

	private final EngineContext context;

	private final CallerSink sink;

	private EventSplitter splitter = new EventSplitter();

	private boolean headSent;

	private Optional<String> lastEventId = Optional.empty();

	ResponseStream(EngineContext context, CallerSink sink) {
		this.context = context;
		this.sink = sink;
	}

	boolean headSent() {
		return this.headSent;
	}

	/**
	 * Returns the id of the last event with an id that was sent to the caller, from any
	 * endpoint.
	 * @return the id; empty if no such event was sent
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns how many events were complete so far since the last interruption.
	 * @return the number
	 */
	int completeEvents() {
		return this.splitter.completeEvents();
	}

	/**
	 * Forwards the events that are complete with these bytes, and keeps the rest.
	 * @param status the HTTP status of the endpoint's response
	 * @param headers the headers of the endpoint's response
	 * @param bytes the received bytes; copied, not released
	 * @return whether these were the first events of the response
	 */
	boolean add(int status, HttpHeaders headers, ByteBuf bytes) {
		ByteBuf events = this.splitter.add(bytes);
		if (!events.isReadable()) {
			events.release();
			return false;
		}
		boolean first = sendHead(status, headers);
		this.lastEventId = this.splitter.lastEventId().or(() -> this.lastEventId);
		this.sink.sendContent(events);
		return first;
	}

	/**
	 * Handles the end of an endpoint's response. Sends the head if no event was sent
	 * before and the response is complete.
	 * @param status the HTTP status of the endpoint's response
	 * @param headers the headers of the endpoint's response
	 * @return whether the response is complete; false if it ended within an event
	 */
	boolean end(int status, HttpHeaders headers) {
		if (this.splitter.hasPartialEvent()) {
			return false;
		}
		sendHead(status, headers);
		return true;
	}

	/**
	 * Returns how many bytes of an incomplete event are kept.
	 * @return the number
	 */
	int partialBytes() {
		return this.splitter.partialBytes();
	}

	/**
	 * Drops the received bytes of an incomplete event, so that the stream can continue
	 * with the first event of another endpoint.
	 */
	void dropPartialEvent() {
		this.splitter = new EventSplitter();
	}

	private boolean sendHead(int status, HttpHeaders headers) {
		if (this.headSent) {
			return false;
		}
		this.headSent = true;
		this.sink.sendHead(status, this.context.endpoints().responseHeaders(headers));
		return true;
	}

}
