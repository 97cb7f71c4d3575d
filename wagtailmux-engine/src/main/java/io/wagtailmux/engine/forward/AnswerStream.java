package io.wagtailmux.engine.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

import io.wagtailmux.engine.EngineContext;

/**
 * The events of one answer, which may come from several endpoints one after the other.
 *
 * <p>
 * The head is that of the first endpoint and is sent with the first whole event, so that
 * an endpoint that breaks off before that leaves no trace.
 *
 * @author the wagtailmux developers
 */
final class AnswerStream {

	private final EngineContext context;

	private final CallerSink sink;

	private EventSplitter splitter = new EventSplitter();

	private boolean begun;

	private Optional<String> lastId = Optional.empty();

	AnswerStream(EngineContext context, CallerSink sink) {
		this.context = context;
		this.sink = sink;
	}

	boolean begun() {
		return this.begun;
	}

	Optional<String> lastId() {
		return this.lastId;
	}

	/**
	 * Passes on the events that are whole.
	 * @param status the endpoint's status
	 * @param headers the endpoint's headers
	 * @param bytes what came; not owned
	 * @return whether these were the first events of the answer
	 */
	boolean add(int status, HttpHeaders headers, ByteBuf bytes) {
		ByteBuf events = this.splitter.add(bytes);
		if (!events.isReadable()) {
			events.release();
			return false;
		}
		boolean first = begin(status, headers);
		this.lastId = this.splitter.lastId().or(() -> this.lastId);
		this.sink.sendContent(events);
		return first;
	}

	/**
	 * Takes note that the endpoint ended its stream.
	 * @param status the endpoint's status
	 * @param headers the endpoint's headers
	 * @return whether it ended after a whole event
	 */
	boolean end(int status, HttpHeaders headers) {
		if (this.splitter.hasRest()) {
			return false;
		}
		begin(status, headers);
		return true;
	}

	/**
	 * Drops what came of an event that is not whole.
	 */
	void cut() {
		this.splitter = new EventSplitter();
	}

	private boolean begin(int status, HttpHeaders headers) {
		if (this.begun) {
			return false;
		}
		this.begun = true;
		this.sink.sendHead(status, this.context.endpoints().responseHeaders(headers));
		return true;
	}

}
