package io.wagtailmux.engine.thread;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no error of a task is lost, whatever its type.
 */
class TrafficLoopTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final Counter count = new Counter();

	private final UnexpectedErrors errors = new UnexpectedErrors(this.count);

	private final TrafficLoop loop = new TrafficLoop(this.group.next(), this.errors);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void errorsOfTasksAreCounted() throws Exception {
		this.loop.execute("task", () -> {
			throw new IllegalStateException("error of a task");
		});
		Future<?> timer = this.loop.schedule("timer", Duration.ofMillis(1), () -> {
			throw new StackOverflowError("error of a timer");
		});
		timer.get(5, TimeUnit.SECONDS);
		assertThat(this.count.getCount()).isEqualTo(2);
	}

	@Test
	void aCallerLearnsWhetherAnActionEndedWithoutAnError() {
		assertThat(this.errors.run("action", () -> {
		})).isTrue();
		assertThat(this.errors.run("action", () -> {
			throw new IllegalStateException("error of an action");
		})).isFalse();
	}

	/** Connections fail without any fault of this program. */
	@Test
	void errorsOfInputAndOutputAreNotUnexpectedOnAConnection() {
		this.errors.recordOnConnection("connection", new IOException("reset"));
		assertThat(this.count.getCount()).isZero();
		this.errors.recordOnConnection("connection", new IllegalStateException("error of a handler"));
		assertThat(this.count.getCount()).isOne();
	}

}
