package io.wagtailmux.engine.thread;

import java.io.IOException;

import com.codahale.metrics.Counter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts errors that no code expects, so that none is lost: an event loop or an
 * executor keeps those of its tasks to itself. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class UnexpectedErrors {

	private static final Logger LOG = LoggerFactory.getLogger(UnexpectedErrors.class);

	private final Counter count;

	/**
	 * Creates the recorder.
	 * @param count counts the errors
	 */
	public UnexpectedErrors(Counter count) {
		this.count = count;
	}

	/**
	 * Runs an action. An error, of whatever type, ends the action but not its caller, who
	 * can give back what the action has acquired.
	 * @param task what the action does, for the log
	 * @param action the action
	 * @return whether it ended without an error
	 */
	public boolean run(String task, Runnable action) {
		try {
			action.run();
			return true;
		}
		catch (Throwable ex) {
			record(task, ex);
			return false;
		}
	}

	/**
	 * Records an error.
	 * @param task what failed, for the log
	 * @param error the error
	 */
	public void record(String task, Throwable error) {
		this.count.inc();
		LOG.atError().setCause(error).addKeyValue("task", task).log("unexpected error");
	}

	/**
	 * Records the error of a connection, unless it is one of input or output, which any
	 * connection may have.
	 * @param task what failed, for the log
	 * @param error the error
	 */
	public void recordOnConnection(String task, Throwable error) {
		if (!(error instanceof IOException)) {
			record(task, error);
		}
	}

}
