package io.wagtailmux.engine.thread;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no error of a control task is lost.
 */
class ControlThreadTests {

	private final Counter count = new Counter();

	private final ScheduledExecutorService control = new ControlThread(new DefaultThreadFactory("control"),
			new UnexpectedErrors(this.count));

	@AfterEach
	void stop() {
		this.control.shutdownNow();
	}

	/**
	 * Guards against control state that is no longer updated, without a line in the log.
	 */
	@Test
	void errorsOfTasksAreCountedAndLaterTasksRun() throws Exception {
		this.control.execute(ControlThreadTests::fail);
		this.control.schedule(ControlThreadTests::fail, 1, TimeUnit.MILLISECONDS);
		this.control.schedule(() -> {
		}, 1, TimeUnit.HOURS).cancel(false);
		this.control.schedule(() -> {
		}, 50, TimeUnit.MILLISECONDS).get(5, TimeUnit.SECONDS);
		assertThat(this.count.getCount()).isEqualTo(2);
	}

	private static void fail() {
		throw new IllegalStateException("error of a control task");
	}

}
