package io.wagtailmux.engine.http;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;

import io.wagtailmux.engine.thread.TrafficLoop;

/**
 * One request in flight. Its listener is notified of the end exactly once. All methods
 * are to be called on the event loop of the client.
 *
 * @author the wagtailmux developers
 */
public final class ClientCall {

	private final OutgoingRequest request;

	private final ResponseListener listener;

	private final TrafficLoop loop;

	private ClientConnection connection;

	private Future<?> timer;

	private boolean done;

	private boolean sent;

	private boolean answered;

	private long receivedBytes;

	ClientCall(OutgoingRequest request, ResponseListener listener, TrafficLoop loop) {
		this.request = request;
		this.listener = listener;
		this.loop = loop;
	}

	/**
	 * Cancels the call and closes its connection, so that the remote side stops working
	 * on it. The listener is notified with {@link CallFailure#CANCELLED}. Has no effect
	 * after the end.
	 */
	public void cancel() {
		fail(CallFailure.CANCELLED, "cancelled");
	}

	/**
	 * Sets whether the response is read from the connection. Has no effect while no
	 * connection is assigned or after the end.
	 * @param autoRead false to pause reading, which slows the remote side down
	 */
	public void setAutoRead(boolean autoRead) {
		if (this.connection != null && !this.done) {
			this.connection.setAutoRead(autoRead);
		}
	}

	/**
	 * Returns whether the call has ended, successfully or not.
	 * @return whether the end was or is being reported to the listener
	 */
	public boolean done() {
		return this.done;
	}

	OutgoingRequest request() {
		return this.request;
	}

	void startTimer() {
		Duration timeout = this.request.timeout();
		this.timer = this.loop.schedule("timeout of a call", timeout,
				() -> fail(CallFailure.TIMED_OUT, "no complete response after " + timeout.toMillis() + " ms"));
	}

	void markSent(ClientConnection usedConnection) {
		this.connection = usedConnection;
		this.sent = true;
	}

	boolean sent() {
		return this.sent;
	}

	/**
	 * Returns whether the call still waits for the first byte of its response.
	 * @return whether it has neither ended nor received a head
	 */
	public boolean silent() {
		return !this.done && !this.answered;
	}

	/**
	 * Ends the call as broken if its request may run more than once, since the links to
	 * the endpoints have failed.
	 */
	public void breakIfRepeatable() {
		if (this.request.repeatable()) {
			fail(CallFailure.BROKEN, "links to the endpoints failed");
		}
	}

	void onHead(HttpResponse response) {
		this.answered = true;
		if (this.request.streamed()) {
			stopTimer();
		}
		this.listener.onHead(response);
	}

	void onContent(ByteBuf content) {
		this.receivedBytes += content.readableBytes();
		if (!this.request.streamed() && this.receivedBytes > this.request.maximumResponseBytes()) {
			fail(CallFailure.MALFORMED, "response body above " + this.request.maximumResponseBytes() + " bytes");
			return;
		}
		this.listener.onContent(content);
	}

	void onEnd() {
		if (!this.done) {
			this.done = true;
			stopTimer();
			notifyOfEnd(this.listener::onEnd);
		}
	}

	void fail(CallFailure failure, String detail) {
		if (this.done) {
			return;
		}
		this.done = true;
		stopTimer();
		if (this.connection != null) {
			this.connection.abort(this);
		}
		boolean unsent = failure == CallFailure.TIMED_OUT && !this.sent;
		notifyOfEnd(() -> this.listener.onFailure(unsent ? CallFailure.NOT_SENT : failure, detail));
	}

	/**
	 * Notifies the listener. An error of the listener does not reach the connection,
	 * which may serve another call by then.
	 * @param notification the notification
	 */
	private void notifyOfEnd(Runnable notification) {
		this.loop.errors().run("end of a call", notification);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

}
