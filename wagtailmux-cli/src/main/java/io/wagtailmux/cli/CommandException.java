package io.wagtailmux.cli;

/**
 * Thrown when a command fails; determines the message printed and the exit code.
 *
 * @author the wagtailmux developers
 */
public final class CommandException extends RuntimeException {

	private final ExitCode code;

	/**
	 * Creates the exception.
	 * @param code the exit code of the process
	 * @param message the cause, printed to the standard error stream
	 */
	public CommandException(ExitCode code, String message) {
		super(message);
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the exit code
	 */
	public ExitCode code() {
		return this.code;
	}

}
