package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * Thrown when a request is refused or fails.
 *
 * @author the wagtailmux developers
 */
public final class RequestException extends RuntimeException {

	private final ProblemCode code;

	private final Execution execution;

	private final transient Optional<Duration> retryAfter;

	/**
	 * Creates the exception.
	 * @param code the error code
	 * @param execution what is known about whether the request had an effect
	 * @param retryAfter the time after which a retry may succeed; empty if a retry does
	 * not help
	 * @param detail what failed, and where or with which value
	 */
	public RequestException(ProblemCode code, Execution execution, Optional<Duration> retryAfter, String detail) {
		super(detail);
		this.code = code;
		this.execution = execution;
		this.retryAfter = retryAfter;
	}

	/**
	 * Creates an exception for a request that did not run and that fails again if it is
	 * retried unchanged.
	 * @param code the error code
	 * @param detail the invalid part of the request and its value
	 * @return the exception
	 */
	public static RequestException invalid(ProblemCode code, String detail) {
		return new RequestException(code, Execution.NOT_RUN, Optional.empty(), detail);
	}

	/**
	 * Creates an exception for a request that did not run and may be retried.
	 * @param code the error code
	 * @param retryAfter the time after which a retry may succeed
	 * @param detail why the request was not run
	 * @return the exception
	 */
	public static RequestException notRun(ProblemCode code, Duration retryAfter, String detail) {
		return new RequestException(code, Execution.NOT_RUN, Optional.of(retryAfter), detail);
	}

	/**
	 * Returns the error code.
	 * @return the code
	 */
	public ProblemCode code() {
		return this.code;
	}

	/**
	 * Returns what is known about whether the request had an effect.
	 * @return the execution state
	 */
	public Execution execution() {
		return this.execution;
	}

	/**
	 * Returns the time after which a retry may succeed.
	 * @return the time from now; empty if a retry does not help
	 */
	public Optional<Duration> retryAfter() {
		return this.retryAfter;
	}

}
