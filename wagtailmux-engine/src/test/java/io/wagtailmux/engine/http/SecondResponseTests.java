package io.wagtailmux.engine.http;

import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the bytes of a second response, whole or cut off, are never taken for the
 * response to the next request or for a part of it.
 */
@Timeout(60)
class SecondResponseTests {

	private static final String LATE = "HTTP/1.1 %s late\r\nX-Id: foreign\r\nX-Late: late\r\nContent-Length: 4\r\n\r\nlate";

	private static final String OWN = "HTTP/1.1 %s own\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown";

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final Counter errors = new Counter();

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(this.errors));

	private final HttpClient client = new HttpClient(this.loop, TimeSource.system());

	private HttpDestination destination;

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/** Guards against a late response that answers a call made at the end of another. */
	@ParameterizedTest
	@MethodSource("cuts")
	void aSecondResponseInTheReadOfTheFirstIsNotThatOfTheNextCall(String late, String own) throws Exception {
		RecordedResponse next = new RecordedResponse();
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			if (!ScriptedServer.readHead(socket).isEmpty()) {
				ScriptedServer.write(socket, own + late);
				answerNext(socket, own);
			}
		})) {
			this.destination = new HttpDestination(server.address());
			sendAndThen(next);
			assertThat(next.outcome()).isEqualTo(expected(own));
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	/**
	 * Guards against the head of a late response that is joined to that of the next one.
	 */
	@ParameterizedTest
	@MethodSource("cuts")
	void aSecondResponseBetweenTwoCallsIsNoPartOfTheNextOne(String late, String own) throws Exception {
		CountDownLatch first = new CountDownLatch(1);
		CountDownLatch closed = new CountDownLatch(1);
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			answerNext(socket, own);
			if (first.await(10, TimeUnit.SECONDS) && closed.getCount() > 0) {
				ScriptedServer.write(socket, late);
				awaitEnd(socket);
				closed.countDown();
			}
			answerNext(socket, own);
		})) {
			this.destination = new HttpDestination(server.address());
			assertThat(outcome(HttpMethod.GET)).isEqualTo(expected(own));
			first.countDown();
			assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
			assertThat(outcome(HttpMethod.GET)).isEqualTo(expected(own));
		}
	}

	/**
	 * Guards against a late response that is joined to that of the open call, so that the
	 * status of the one stands before the headers of the other.
	 */
	@ParameterizedTest
	@MethodSource("cuts")
	void aResponseAfterAPartOfAnotherIsItselfOrNone(String late, String own) throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket, late + own);
			socket.shutdownOutput();
		})) {
			this.destination = new HttpDestination(server.address());
			assertThat(outcome(HttpMethod.GET)).isIn(expected(own), "MALFORMED", "BROKEN");
		}
	}

	static List<Arguments> cuts() {
		List<Arguments> cuts = new ArrayList<>();
		for (String[] statuses : List.of(new String[] { "200", "500" }, new String[] { "500", "200" })) {
			String late = LATE.formatted(statuses[0]);
			for (int bytes = 1; bytes <= late.length(); bytes++) {
				cuts.add(Arguments.of(late.substring(0, bytes), OWN.formatted(statuses[1])));
			}
		}
		return cuts;
	}

	/** Guards against connections that fail by an error of this program. */
	@Test
	void aSwitchOfProtocolsThatWasNotAskedForIsNoResponse() throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket,
					"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n" + OWN.formatted("500"));
		})) {
			this.destination = new HttpDestination(server.address());
			assertThat(outcome(HttpMethod.GET)).isEqualTo("500 own");
			assertThat(this.errors.getCount()).isZero();
		}
	}

	/** Guards against a success without the body that the server has sent. */
	@Test
	void theBodyOfAResponseToAConnectRequestIsPartOfIt() throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket, OWN.formatted("200"));
		})) {
			this.destination = new HttpDestination(server.address());
			assertThat(outcome(HttpMethod.CONNECT)).isEqualTo("200 own");
		}
	}

	/** Guards against the response to HEAD that is read as one with a body. */
	@Test
	void aResponseToHeadHasNoBodyAlsoAfterADroppedOne() throws Exception {
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			ScriptedServer.readHead(socket);
			ScriptedServer.write(socket,
					"HTTP/1.1 204 late\r\n\r\nHTTP/1.1 200 own\r\nX-Id: own\r\nContent-Length: 3\r\n\r\n");
		})) {
			this.destination = new HttpDestination(server.address());
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.HEAD, "/x")
				.responseFilter((response) -> response.headers().contains("X-Id"))
				.timeout(Duration.ofSeconds(8))
				.build();
			RecordedResponse response = new RecordedResponse();
			this.loop.execute("test", () -> this.client.send(this.destination, request, response));
			assertThat(response.outcome()).isEqualTo("200 ");
		}
	}

	@Test
	void aConnectionIsUsedAgainByACallMadeAtTheEndOfAnother() throws Exception {
		RecordedResponse next = new RecordedResponse();
		try (ScriptedServer server = new ScriptedServer((socket) -> {
			answerNext(socket, OWN.formatted("500"));
			answerNext(socket, OWN.formatted("500"));
		})) {
			this.destination = new HttpDestination(server.address());
			sendAndThen(next);
			assertThat(next.outcome()).isEqualTo("500 own");
			assertThat(server.connections()).isOne();
		}
	}

	private static void answerNext(Socket socket, String own) throws Exception {
		if (!ScriptedServer.readHead(socket).isEmpty()) {
			ScriptedServer.write(socket, own);
		}
	}

	private static void awaitEnd(Socket socket) throws Exception {
		socket.setSoTimeout(500);
		try {
			socket.getInputStream().read();
		}
		catch (SocketTimeoutException ex) {
			socket.setSoTimeout(0);
		}
	}

	private static String expected(String own) {
		return own.substring(9, 13) + "own";
	}

	private void sendAndThen(RecordedResponse next) {
		send(HttpMethod.GET, new RecordedResponse() {

			@Override
			public void onEnd() {
				SecondResponseTests.this.client.send(SecondResponseTests.this.destination, request(HttpMethod.GET),
						next);
			}

		});
	}

	private String outcome(HttpMethod method) throws Exception {
		RecordedResponse response = new RecordedResponse();
		send(method, response);
		return response.outcome();
	}

	private void send(HttpMethod method, ResponseListener listener) {
		this.loop.execute("test", () -> this.client.send(this.destination, request(method), listener));
	}

	private static OutgoingRequest request(HttpMethod method) {
		return OutgoingRequest.of(method, "/x")
			.timeout(Duration.ofSeconds(8))
			.responseFilter((response) -> response.headers().getAll("X-Id").stream().allMatch("own"::equals))
			.build();
	}

}
