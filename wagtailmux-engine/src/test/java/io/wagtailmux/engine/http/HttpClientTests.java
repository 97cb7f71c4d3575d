package io.wagtailmux.engine.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a request which is not wanted any more when its connection opens is not
 * sent.
 */
class HttpClientTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void aRequestWhoseConditionEndsWhileItsConnectionOpensIsNotSent() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			EventLoop loop = this.group.next();
			HttpClient client = new HttpClient(new TrafficLoop(loop, new UnexpectedErrors(new Counter())),
					TimeSource.system());
			HttpDestination destination = new HttpDestination(
					new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/x").onlyIf(() -> false).build();
			CompletableFuture<CallFailure> failure = new CompletableFuture<>();
			loop.execute(() -> client.send(destination, request, new FailureListener(failure)));
			assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(CallFailure.NOT_SENT);
			assertThat(bytesReceived(server)).isEqualTo(-1);
		}
	}

	private static int bytesReceived(ServerSocket server) throws IOException {
		try (Socket accepted = server.accept()) {
			return accepted.getInputStream().read();
		}
	}

	private record FailureListener(CompletableFuture<CallFailure> failure) implements ResponseListener {

		@Override
		public void onHead(HttpResponse response) {
		}

		@Override
		public void onContent(ByteBuf content) {
		}

		@Override
		public void onEnd() {
		}

		@Override
		public void onFailure(CallFailure reason, String detail) {
			this.failure.complete(reason);
		}

	}

}
