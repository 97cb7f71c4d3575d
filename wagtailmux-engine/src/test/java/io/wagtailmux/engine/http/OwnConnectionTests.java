package io.wagtailmux.engine.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests whose responses do not say which request they answer.
 */
class OwnConnectionTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private HttpClient client;

	private ServerSocket server;

	private HttpDestination destination;

	@BeforeEach
	void start() throws IOException {
		this.client = new HttpClient(new TrafficLoop(this.loop, new UnexpectedErrors(new Counter())),
				TimeSource.system());
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout((int) TIMEOUT.toMillis());
		this.destination = new HttpDestination(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort()));
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void theSecondAnswerToARequestIsNotTakenForTheOneToTheNextRequest() throws Exception {
		CompletableFuture<String> next = new CompletableFuture<>();
		CompletableFuture<String> first = new CompletableFuture<>();
		send(first, () -> sendOnLoop(next, () -> {
		}));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			write(connection, answer("first") + answer("second"));
			assertThat(first.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("first");
			try (Socket another = this.server.accept()) {
				readHead(another);
				write(another, answer("next"));
				assertThat(next.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("next");
			}
		}
	}

	@Test
	void aConnectionThatAnotherRequestLeftIsNotUsed() throws Exception {
		CompletableFuture<String> shared = new CompletableFuture<>();
		CompletableFuture<String> own = new CompletableFuture<>();
		this.loop
			.execute(() -> this.client.send(this.destination, OutgoingRequest.of(HttpMethod.GET, "/shared").build(),
					new Listener(shared, () -> sendOnLoop(own, () -> {
					}))));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			write(connection, answer("shared"));
			try (Socket another = this.server.accept()) {
				write(connection, answer("late"));
				readHead(another);
				write(another, answer("own"));
				assertThat(own.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("own");
			}
		}
	}

	@Test
	void aConnectionIsClosedAfterItsResponse() throws Exception {
		send(new CompletableFuture<>(), () -> {
		});
		try (Socket connection = this.server.accept()) {
			connection.setSoTimeout((int) TIMEOUT.toMillis());
			readHead(connection);
			write(connection, answer("only"));
			assertThat(connection.getInputStream().read()).isEqualTo(-1);
		}
	}

	private void send(CompletableFuture<String> body, Runnable atEnd) {
		this.loop.execute(() -> sendOnLoop(body, atEnd));
	}

	private void sendOnLoop(CompletableFuture<String> body, Runnable atEnd) {
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/own").ownConnection().build();
		this.client.send(this.destination, request, new Listener(body, atEnd));
	}

	private static void readHead(Socket connection) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int read = connection.getInputStream().read();
			assertThat(read).as("end of the head").isNotNegative();
			head.append((char) read);
		}
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String answer(String body) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private record Listener(CompletableFuture<String> body, Runnable atEnd) implements ResponseListener {

		@Override
		public void onHead(HttpResponse response) {
		}

		@Override
		public void onContent(ByteBuf content) {
			this.body.complete(content.toString(StandardCharsets.US_ASCII));
		}

		@Override
		public void onEnd() {
			this.atEnd.run();
		}

		@Override
		public void onFailure(CallFailure reason, String detail) {
			this.body.completeExceptionally(new UncheckedIOException(new IOException(reason + ": " + detail)));
		}

	}

}
