package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bytes with a status that no response can have, which are taken for an
 * answer: by calls of endpoints, of the store, of other instances and of duties alike,
 * since all of them use this client.
 */
@Timeout(30)
class StatusOutsideProtocolTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(new Counter()));

	private final HttpClient client = new HttpClient(this.loop, TimeSource.system());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@ParameterizedTest
	@CsvSource({ "000 OK, MALFORMED", "000, MALFORMED", "0 OK, MALFORMED", "099 OK, MALFORMED", "600 OK, MALFORMED",
			"999 OK, MALFORMED", "200 OK, 200 body", "599 Error, 599 body" })
	void onlyAStatusOfTheProtocolIsAnAnswer(String status, String outcome) throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket, "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody");
			socket.close();
		})) {
			RecordedResponse response = new RecordedResponse();
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/x").timeout(Duration.ofSeconds(8)).build();
			this.loop.execute("test", () -> this.client.send(new HttpDestination(server.address()), request, response));
			assertThat(response.outcome()).isEqualTo(outcome);
		}
	}

}
