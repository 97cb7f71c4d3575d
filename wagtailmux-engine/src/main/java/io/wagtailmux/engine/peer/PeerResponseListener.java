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
 * Collects the answer to a call to another instance.
 *
 * @author the wagtailmux developers
 */
public final class PeerResponseListener implements ResponseListener {

	private static final int OK = 200;

	private final Consumer<ByteBuf> answered;

	private final Consumer<String> failed;

	private final CompositeByteBuf body = Unpooled.compositeBuffer();

	private int status;

	/**
	 * Creates the listener of one call.
	 * @param answered takes the body of a good answer, which it does not own
	 * @param failed takes what was seen instead
	 */
	public PeerResponseListener(Consumer<ByteBuf> answered, Consumer<String> failed) {
		this.answered = answered;
		this.failed = failed;
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
				this.answered.accept(this.body);
				return;
			}
			this.failed.accept("status " + this.status);
		}
		catch (ProtocolException ex) {
			this.failed.accept(ex.getMessage());
		}
		finally {
			this.body.release();
		}
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.body.release();
		this.failed.accept(failure + ": " + detail);
	}

}
