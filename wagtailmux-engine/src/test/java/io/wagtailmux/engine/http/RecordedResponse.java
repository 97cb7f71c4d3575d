package io.wagtailmux.engine.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Records the response to one request of a test.
 *
 * @author the wagtailmux developers
 */
class RecordedResponse implements ResponseListener {

	private final StringBuilder text = new StringBuilder();

	private final CompletableFuture<String> outcome = new CompletableFuture<>();

	@Override
	public void onHead(HttpResponse response) {
		this.text.append(response.status().code()).append(' ');
	}

	@Override
	public void onContent(ByteBuf content) {
		this.text.append(content.toString(StandardCharsets.US_ASCII));
	}

	@Override
	public void onEnd() {
		this.outcome.complete(this.text.toString());
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.outcome.complete(failure.name());
	}

	/**
	 * Waits for the end of the call.
	 * @return status and body of a complete response; otherwise the name of the failure
	 * @throws Exception if the call does not end
	 */
	String outcome() throws Exception {
		return this.outcome.get(10, TimeUnit.SECONDS);
	}

}
