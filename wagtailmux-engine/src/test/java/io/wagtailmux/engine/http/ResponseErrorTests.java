package io.wagtailmux.engine.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.sun.net.httpserver.HttpServer;
import io.netty.buffer.ByteBuf;
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
 * Tests of errors in the code that handles a response.
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
		send(new FailingListener(true));
		assertThat(this.ends.poll(5, TimeUnit.SECONDS)).isEqualTo("BROKEN");
		assertThat(this.errors.getCount()).isOne();
	}

	private void send(ResponseListener listener) {
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/x").build();
		this.loop.execute("test", () -> this.client.send(this.destination, request, listener));
	}

	private final class FailingListener implements ResponseListener {

		private final boolean atHead;

		FailingListener(boolean atHead) {
			this.atHead = atHead;
		}

		@Override
		public void onHead(HttpResponse response) {
			if (this.atHead) {
				throw new IllegalStateException("error in the handling of a head");
			}
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
