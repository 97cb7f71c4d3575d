package io.wagtailmux.engine.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.EngineMetrics;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.engine.state.SharedLimits;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.PingMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections that stay open after each end of an endpoint, until the
 * descriptors of the instances are used up.
 */
@Timeout(30)
class EvidenceSenderTests {

	private static final int MESSAGES = 5;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(new Counter()));

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger open = new AtomicInteger();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void connectionsAreClosedAfterEachMessage() throws Exception {
		try (ServerSocket instance = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			start(() -> accept(instance));
			EvidenceSender sender = sender(instance.getLocalPort());
			for (int message = 1; message <= MESSAGES; message++) {
				this.loop.execute("test", sender::send);
				awaitAnswers(message);
			}
			long until = System.nanoTime() + Duration.ofSeconds(2).toNanos();
			while (this.open.get() > 0 && System.nanoTime() < until) {
				Thread.sleep(10);
			}
			assertThat(this.open.get()).isZero();
		}
	}

	private void awaitAnswers(int count) throws InterruptedException {
		while (this.answered.get() < count) {
			Thread.sleep(10);
		}
	}

	private EvidenceSender sender(int port) {
		AvailabilityZoneId zone = new AvailabilityZoneId("zone");
		InstanceCapacity capacity = new InstanceCapacity(1, 1000);
		ServingState state = new ServingState(new DutyCandidate(new InstanceId("instance"), capacity),
				new SharedLimits(0.2, Duration.ofSeconds(10), 50, 1.5, 5, 0.1, 50), TimeSource.system(),
				(pool) -> null);
		InstancePeer peer = new InstancePeer(new InstanceId("other"),
				new InetSocketAddress(InetAddress.getLoopbackAddress(), port), zone, capacity);
		state.updateView(new ServingView(Optional.empty(), Map.of(), Set.of(), Map.of(), List.of(peer), 2));
		HttpClient client = new HttpClient(this.loop, TimeSource.system());
		EngineContext context = new EngineContext(client, TimeSource.system(), state, null, null, zone,
				new SplittableRandom(1), new EngineMetrics(new MetricRegistry()));
		PingMessage message = new PingMessage(new InstanceRecordMessage("instance", "127.0.0.1", 1, "zone", 1), 1,
				false);
		return new EvidenceSender(context, () -> message);
	}

	private void accept(ServerSocket instance) {
		try {
			while (true) {
				Socket socket = instance.accept();
				this.open.incrementAndGet();
				start(() -> answer(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed, which ends this thread.
		}
	}

	private void answer(Socket socket) {
		try (socket) {
			byte[] buffer = new byte[4096];
			while (socket.getInputStream().read(buffer) >= 0) {
				socket.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				this.answered.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// The sender closed the connection, as it should.
		}
		this.open.decrementAndGet();
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "instance");
		thread.setDaemon(true);
		thread.start();
	}

}
