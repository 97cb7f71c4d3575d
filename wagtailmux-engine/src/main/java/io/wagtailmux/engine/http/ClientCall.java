package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One request on its way. It tells its listener about the end exactly once.
 *
 * @author the wagtailmux developers
 */
public final class ClientCall {

	private final OutgoingRequest request;

	private final ResponseListener listener;

	private ClientConnection connection;

	private ScheduledFuture<?> timer;

	private boolean done;

	private boolean sent;

	ClientCall(OutgoingRequest request, ResponseListener listener) {
		this.request = request;
		this.listener = listener;
	}

	/**
	 * Gives the call up and closes its connection, so that the far side stops working.
	 */
	public void cancel() {
		fail(CallFailure.CANCELLED, "given up");
	}

	/**
	 * Sets whether more of the response is read.
	 * @param reading false to slow the far side down
	 */
	public void setAutoRead(boolean reading) {
		if (this.connection != null && !this.done) {
			this.connection.read(reading);
		}
	}

	/**
	 * Tells whether the call has ended.
	 * @return whether the listener heard of the end
	 */
	public boolean done() {
		return this.done;
	}

	OutgoingRequest request() {
		return this.request;
	}

	void startTimer(io.netty.channel.EventLoop loop) {
		Duration timeout = this.request.timeout();
		this.timer = loop.schedule(() -> fail(CallFailure.TIMED_OUT, "no response after " + timeout.toMillis() + " ms"),
				timeout.toNanos(), TimeUnit.NANOSECONDS);
	}

	void sentOn(ClientConnection used) {
		this.connection = used;
		this.sent = true;
	}

	boolean sent() {
		return this.sent;
	}

	void head(HttpResponse response) {
		stopTimer();
		this.listener.onHead(response);
	}

	void content(ByteBuf content) {
		this.listener.onContent(content);
	}

	void end() {
		if (!this.done) {
			this.done = true;
			stopTimer();
			this.listener.onEnd();
		}
	}

	void fail(CallFailure failure, String detail) {
		if (this.done) {
			return;
		}
		this.done = true;
		stopTimer();
		if (this.connection != null) {
			this.connection.abandon(this);
		}
		boolean unsent = failure == CallFailure.TIMED_OUT && !this.sent;
		this.listener.onFailure(unsent ? CallFailure.NOT_SENT : failure, detail);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

}
