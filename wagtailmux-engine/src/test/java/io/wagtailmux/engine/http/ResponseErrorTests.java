package io.wagtailmux.engine.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.sun.net.httpserver.HttpServer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
 * Tests of errors of this program while it sends a request or handles its response.
 */
class ResponseErrorTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final Counter errors = new Counter();

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(this.errors));

	private final HttpClient client = new HttpClient(this.loop, TimeSource.system());

	private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

	private HttpServer server;

	private HttpDestination destination;

	@BeforeEach
	void start() throws Exception {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", (exchange) -> {
			exchange.sendResponseHeaders(200, 2);
			exchange.getResponseBody().write(new byte[2]);
			exchange.close();
		});
		this.server.start();
		this.destination = new HttpDestination(this.server.getAddress());
	}

	@AfterEach
	void stop() {
		this.server.stop(0);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/** Guards against errors on the traffic thread that no log and no metric shows. */
	@Test
	void anErrorInTheHandlingOfAResponseIsRecordedAndFailsTheCall() throws Exception {
		send(request(), new Recorder() {

			@Override
			public void onHead(HttpResponse response) {
				throw new IllegalStateException("error in the handling of a head");
			}

		});
		assertThat(nextEnd()).isEqualTo("BROKEN");
		assertThat(this.errors.getCount()).isOne();
	}

	/**
	 * Guards against an error that breaks another call, to which its connection belongs
	 * by then.
	 */
	@Test
	void anErrorAtTheEndOfACallDoesNotDisturbTheNextCallOnItsConnection() throws Exception {
		send(request(), new Recorder() {

			@Override
			public void onEnd() {
				ResponseErrorTests.this.client.send(ResponseErrorTests.this.destination, request(), new Recorder());
				throw new IllegalStateException("error at the end of a call");
			}

		});
		assertThat(nextEnd()).isEqualTo("end");
		assertThat(this.errors.getCount()).isOne();
	}

	/** Guards against connections that stay open without a call after an error. */
	@Test
	void aCallWhoseRequestCannotBeEncodedFailsAsNotSentAndItsConnectionIsClosed() throws Exception {
		ByteBuf released = Unpooled.buffer(1);
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, "/x").body(released).build();
		released.release();
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.destination = new HttpDestination((InetSocketAddress) silent.getLocalSocketAddress());
			send(request, new Recorder());
			assertThat(nextEnd()).isEqualTo("NOT_SENT");
			try (Socket accepted = silent.accept()) {
				accepted.setSoTimeout(1000);
				assertThat(accepted.getInputStream().read()).isEqualTo(-1);
			}
		}
		assertThat(this.errors.getCount()).isOne();
	}

	private static OutgoingRequest request() {
		return OutgoingRequest.of(HttpMethod.GET, "/x").build();
	}

	private void send(OutgoingRequest request, ResponseListener listener) {
		this.loop.execute("test", () -> this.client.send(this.destination, request, listener));
	}

	private String nextEnd() throws InterruptedException {
		return this.ends.poll(1, TimeUnit.SECONDS);
	}

	private class Recorder implements ResponseListener {

		@Override
		public void onHead(HttpResponse response) {
		}

		@Override
		public void onContent(ByteBuf content) {
		}

		@Override
		public void onEnd() {
			ResponseErrorTests.this.ends.add("end");
		}

		@Override
		public void onFailure(CallFailure failure, String detail) {
			ResponseErrorTests.this.ends.add(failure.name());
		}

	}

}
