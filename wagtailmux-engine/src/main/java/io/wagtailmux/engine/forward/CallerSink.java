package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response to one request of a caller. Exactly one of {@link #send},
 * {@link #end}, {@link #reject} and {@link #abort} is called, as the last call. Used on
 * the traffic thread only.
 *
 * @author the wagtailmux developers
 */
public interface CallerSink {

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param headers the headers, without those for framing and connection; the sink adds
	 * these to the passed object
	 * @param body the body; released by the sink
	 */
	void send(int status, HttpHeaders headers, ByteBuf body);

	/**
	 * Sends the head of a response of unknown length.
	 * @param status the HTTP status
	 * @param headers the headers, without those for framing and connection; the sink adds
	 * these to the passed object
	 */
	void sendHead(int status, HttpHeaders headers);

	/**
	 * Sends a part of the body after {@link #sendHead}.
	 * @param content the bytes; released by the sink
	 */
	void sendContent(ByteBuf content);

	/**
	 * Ends a response begun with {@link #sendHead} as complete.
	 */
	void end();

	/**
	 * Ends a response begun with {@link #sendHead} by closing the connection, so that the
	 * caller sees that the response is incomplete.
	 */
	void abort();

	/**
	 * Sends an error response that this instance creates itself.
	 * @param code the reason
	 * @param retryAfter the delay after which the caller may retry; empty for none
	 */
	void reject(RejectionCode code, Optional<Duration> retryAfter);

	/**
	 * Returns whether more content may be sent now.
	 * @return false while the write buffer of the connection is above its limit
	 */
	boolean writable();

}
