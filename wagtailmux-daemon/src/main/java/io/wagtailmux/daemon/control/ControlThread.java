package io.wagtailmux.daemon.control;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single thread that runs tasks one after another. An instance has two of them. The
 * control thread owns the control state, and its tasks must not block. The tasks of the
 * thread for platform calls may block; they post their results to the control thread.
 *
 * <p>
 * The methods may be called from any thread. An exception thrown by a task is logged and
 * does not affect later tasks.
 *
 * @author the wagtailmux developers
 */
public final class ControlThread implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

	private final ScheduledThreadPoolExecutor executor;

	/**
	 * Starts the thread.
	 * @param name the thread's name
	 */
	public ControlThread(String name) {
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		this.executor.setRemoveOnCancelPolicy(true);
	}

	/**
	 * Runs a task on the thread after the tasks that are due already. Dropped after
	 * {@link #close()}.
	 * @param task the task
	 */
	public void post(Runnable task) {
		try {
			this.executor.execute(() -> runLoggingErrors(task));
		}
		catch (RejectedExecutionException ex) {
			LOG.debug("task dropped: the thread is closed");
		}
	}

	/**
	 * Runs a task on the thread repeatedly, the first time without a delay.
	 * @param interval the time between the end of a run and the start of the next
	 * @param task the task
	 * @throws RejectedExecutionException if the thread is closed
	 */
	public void scheduleRepeatedly(Duration interval, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> runLoggingErrors(task), 0, interval.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a task on the thread once after a delay. Dropped after {@link #close()}.
	 * @param delay the time until the task is due
	 * @param task the task
	 */
	public void schedule(Duration delay, Runnable task) {
		try {
			this.executor.schedule(() -> runLoggingErrors(task), delay.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOG.debug("task dropped: the thread is closed");
		}
	}

	/**
	 * Interrupts the running task, drops the others and does not wait for the thread.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	// The executor silently stops repeating a task that throws.
	private static void runLoggingErrors(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			LOG.error("control task failed", ex);
		}
	}

}
