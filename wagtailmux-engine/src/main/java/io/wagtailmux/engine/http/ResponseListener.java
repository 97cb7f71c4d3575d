package io.wagtailmux.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears of one call's response, on the event loop.
 *
 * <p>
 * A call ends with exactly one of {@link #onEnd} and {@link #onFailure}; both may come
 * before a head.
 *
 * @author the wagtailmux developers
 */
public interface ResponseListener {

	/**
	 * Takes the status and headers.
	 * @param response the head of the response
	 */
	void onHead(HttpResponse response);

	/**
	 * Takes a part of the body.
	 * @param content the bytes; the listener does not own them and retains what it keeps
	 */
	void onContent(ByteBuf content);

	/**
	 * Takes note that the response is whole.
	 */
	void onEnd();

	/**
	 * Takes note that the response will not be whole.
	 * @param failure how the call ended
	 * @param detail what was seen, for the log
	 */
	void onFailure(CallFailure failure, String detail);

}
