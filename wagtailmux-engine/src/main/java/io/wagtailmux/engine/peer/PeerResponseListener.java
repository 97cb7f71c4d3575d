package io.wagtailmux.engine.peer;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.ProtocolException;

/**
 * Collects the response to one call to another instance, and reports its body or why
 * there is none.
 *
 * @author the wagtailmux developers
 */
public final class PeerResponseListener implements ResponseListener {

	private static final int OK = 200;

	private final Consumer<ByteBuf> responseConsumer;

	private final Consumer<String> failureConsumer;

	private final CompositeByteBuf body = Unpooled.compositeBuffer();

	private int status;

	/**
	 * Creates the listener of one call. Exactly one of the consumers is called, on the
	 * traffic thread, unless the first one throws a {@link ProtocolException}: then the
	 * second one is called as well.
	 * @param responseConsumer accepts the body of a response with status 200, which is
	 * released when the consumer returns
	 * @param failureConsumer accepts a description of the failure, for the log
	 */
	public PeerResponseListener(Consumer<ByteBuf> responseConsumer, Consumer<String> failureConsumer) {
		this.responseConsumer = responseConsumer;
		this.failureConsumer = failureConsumer;
	}

	@Override
	public void onHead(HttpResponse response) {
		this.status = response.status().code();
	}

	@Override
	public void onContent(ByteBuf content) {
		this.body.addComponent(true, content.retain());
	}

	@Override
	public void onEnd() {
		try {
			if (this.status == OK) {
				this.responseConsumer.accept(this.body);
				return;
			}
			this.failureConsumer.accept("status " + this.status);
		}
		catch (ProtocolException ex) {
			this.failureConsumer.accept(ex.getMessage());
		}
		finally {
			this.body.release();
		}
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.body.release();
		this.failureConsumer.accept(failure + ": " + detail);
	}

}
