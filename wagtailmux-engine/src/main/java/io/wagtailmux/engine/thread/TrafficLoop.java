package io.wagtailmux.engine.thread;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

/**
 * The event loop whose only thread handles all traffic. Errors of its tasks are recorded.
 * Methods may be called on any thread.
 *
 * @author the wagtailmux developers
 */
public final class TrafficLoop {

	private final EventLoop eventLoop;

	private final UnexpectedErrors errors;

	/**
	 * Creates the loop.
	 * @param eventLoop the event loop
	 * @param errors records the errors of tasks
	 */
	public TrafficLoop(EventLoop eventLoop, UnexpectedErrors errors) {
		this.eventLoop = eventLoop;
		this.errors = errors;
	}

	/**
	 * Returns the event loop, for channels.
	 * @return the event loop
	 */
	public EventLoop eventLoop() {
		return this.eventLoop;
	}

	/**
	 * Returns the recorder of errors.
	 * @return the recorder
	 */
	public UnexpectedErrors errors() {
		return this.errors;
	}

	/**
	 * Runs an action on the traffic thread soon.
	 * @param task what the action does, for the log
	 * @param action the action
	 */
	public void execute(String task, Runnable action) {
		this.eventLoop.execute(() -> this.errors.run(task, action));
	}

	/**
	 * Runs an action on the traffic thread after a delay.
	 * @param task what the action does, for the log
	 * @param delay the delay
	 * @param action the action
	 * @return the timer, which can be cancelled
	 */
	public Future<?> schedule(String task, Duration delay, Runnable action) {
		return this.eventLoop.schedule(() -> this.errors.run(task, action), delay.toNanos(), TimeUnit.NANOSECONDS);
	}

}
