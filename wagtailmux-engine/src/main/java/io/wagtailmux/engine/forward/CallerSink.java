package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Where the answer to one request goes. Exactly one of {@link #send}, {@link #end},
 * {@link #reject} and {@link #abort} ends it.
 *
 * @author the wagtailmux developers
 */
public interface CallerSink {

	/**
	 * Sends a whole answer.
	 * @param status the status
	 * @param headers the headers, without those of framing and connection
	 * @param body the bytes; the sink owns them
	 */
	void send(int status, HttpHeaders headers, ByteBuf body);

	/**
	 * Begins an answer of unknown length.
	 * @param status the status
	 * @param headers the headers, without those of framing and connection
	 */
	void sendHead(int status, HttpHeaders headers);

	/**
	 * Sends a part of an answer that was begun.
	 * @param content the bytes; the sink owns them
	 */
	void sendContent(ByteBuf content);

	/**
	 * Ends an answer that was begun, as complete.
	 */
	void end();

	/**
	 * Ends an answer that was begun, so that the caller sees that it is not complete.
	 */
	void abort();

	/**
	 * Sends an answer of this instance's own.
	 * @param code why
	 * @param retryAfter when to come back
	 */
	void reject(RejectionCode code, Optional<Duration> retryAfter);

	/**
	 * Tells whether the caller reads fast enough.
	 * @return false while too much is waiting to be written
	 */
	boolean writable();

}
