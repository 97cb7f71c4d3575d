package io.wagtailmux.engine.http;

import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of responses whose end is that of the connection.
 */
@Timeout(30)
class UnframedResponseTests {

	/** More than the buffers of both sides of a connection hold. */
	private static final int LONG_BODY_BYTES = 64 << 20;

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart";

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(new Counter()));

	private final HttpClient client = new HttpClient(this.loop, TimeSource.system());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void aResponseThatEndsWithTheConnectionIsComplete() throws Exception {
		assertThat(outcome(Ending.CLOSE, 0)).isEqualTo("200 part");
	}

	/** Guards against a part of a response that is taken for all of it. */
	@ParameterizedTest
	@EnumSource(value = Ending.class, names = { "RESET", "RESET_LATER" })
	void aResponseThatEndsWithAResetIsBroken(Ending ending) throws Exception {
		assertThat(outcome(ending, 0)).isEqualTo("BROKEN");
	}

	/**
	 * Guards against a part of a response that is taken for all of it when the connection
	 * breaks while the request is still being written.
	 */
	@ParameterizedTest
	@EnumSource(Ending.class)
	void aResponseThatEndsBeforeItsRequestWasWrittenIsBroken(Ending ending) throws Exception {
		assertThat(outcome(ending, LONG_BODY_BYTES)).isEqualTo("BROKEN");
	}

	/**
	 * Guards against a response without a body that waits for the end of the connection.
	 */
	@ParameterizedTest
	@CsvSource({ "204 No Content", "304 Not Modified" })
	void aResponseWhoseStatusHasNoBodyIsCompleteBeforeItsRequestWasWritten(String status) throws Exception {
		assertThat(outcome("HTTP/1.1 " + status + "\r\n\r\n", Ending.CLOSE, LONG_BODY_BYTES))
			.isEqualTo(status.substring(0, 4));
	}

	private String outcome(Ending ending, int bodyBytes) throws Exception {
		return outcome(UNFRAMED, ending, bodyBytes);
	}

	private String outcome(String answer, Ending ending, int bodyBytes) throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket, answer);
			ending.end(socket);
		})) {
			ByteBuf body = Unpooled.wrappedBuffer(new byte[bodyBytes]);
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, "/x")
				.body(body)
				.timeout(Duration.ofSeconds(8))
				.build();
			RecordedResponse response = new RecordedResponse();
			HttpDestination destination = new HttpDestination(server.address());
			this.loop.execute("test", () -> this.client.send(destination, request, response));
			return response.outcome();
		}
	}

	private enum Ending {

		CLOSE {

			@Override
			void end(Socket socket) throws Exception {
				socket.shutdownOutput();
			}

		},

		RESET {

			@Override
			void end(Socket socket) throws Exception {
				ScriptedServer.reset(socket);
			}

		},

		RESET_LATER {

			@Override
			void end(Socket socket) throws Exception {
				Thread.sleep(100);
				ScriptedServer.reset(socket);
			}

		};

		abstract void end(Socket socket) throws Exception;

	}

}
