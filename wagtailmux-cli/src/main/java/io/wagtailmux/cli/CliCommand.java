package io.wagtailmux.cli;

/**
 * Command of the {@code wagtailmux} binary. Airline creates an instance and sets its
 * options and arguments.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface CliCommand {

	/**
	 * Runs the command and prints its result to the standard output stream. Called once.
	 * @return the exit code of the process
	 * @throws CommandException if the command fails
	 */
	ExitCode run();

}
