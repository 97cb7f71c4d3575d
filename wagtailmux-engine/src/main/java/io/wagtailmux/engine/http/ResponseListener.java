package io.wagtailmux.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Is notified of the response to one call, on the event loop.
 *
 * <p>
 * A call ends with exactly one of {@link #onEnd} and {@link #onFailure}.
 * {@link #onFailure} may be called without a preceding {@link #onHead}.
 *
 * @author the wagtailmux developers
 */
public interface ResponseListener {

	/**
	 * Handles the status and headers of the response. Called at most once.
	 * @param response the head of the response
	 */
	void onHead(HttpResponse response);

	/**
	 * Handles a part of the body.
	 * @param content the bytes; released after this method returns unless the listener
	 * retains them
	 */
	void onContent(ByteBuf content);

	/**
	 * Handles the end of a complete response.
	 */
	void onEnd();

	/**
	 * Handles the failure of the call; no complete response will arrive.
	 * @param failure how the call failed
	 * @param detail a description of the failure for the log
	 */
	void onFailure(CallFailure failure, String detail);

}
