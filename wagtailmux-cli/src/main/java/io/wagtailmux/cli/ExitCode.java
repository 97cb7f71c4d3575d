package io.wagtailmux.cli;

/**
 * Exit codes of the {@code wagtailmux} binary.
 *
 * @author the wagtailmux developers
 */
public enum ExitCode {

	/** The command succeeded. */
	DONE(0),

	/** The demo or an experiment ran and found a failure or a violated guarantee. */
	FAILED(1),

	/** The arguments, the token, a file or the configuration are invalid. */
	USAGE(2),

	/** An instance or the platform cannot be reached or reports an error. */
	UNREACHABLE(3),

	/** The expected version is outdated because another change was accepted. */
	CONFLICT(4),

	/** The change was accepted but is not yet in force on all instances. */
	NOT_EVERYWHERE(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}
