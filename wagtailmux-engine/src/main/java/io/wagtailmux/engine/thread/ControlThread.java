package io.wagtailmux.engine.thread;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/**
 * The only thread of the control state. Errors of its tasks are recorded, which an
 * executor otherwise keeps to itself.
 *
 * @author the wagtailmux developers
 */
public final class ControlThread extends ScheduledThreadPoolExecutor {

	private final UnexpectedErrors errors;

	/**
	 * Creates the thread.
	 * @param factory creates it
	 * @param errors records the errors of tasks
	 */
	public ControlThread(ThreadFactory factory, UnexpectedErrors errors) {
		super(1, factory);
		this.errors = errors;
	}

	@Override
	protected void afterExecute(Runnable task, Throwable thrown) {
		super.afterExecute(task, thrown);
		if (task instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
			recordError(future);
		}
	}

	private void recordError(Future<?> ended) {
		try {
			ended.get();
		}
		catch (ExecutionException ex) {
			this.errors.record("task of the control thread", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
