package io.wagtailmux.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

import io.wagtailmux.cli.demo.DemoCommand;

/**
 * Main class of the {@code wagtailmux} binary. See {@link ExitCode} for its exit codes.
 *
 * @author the wagtailmux developers
 */
public final class WagtailmuxCommand {

	private WagtailmuxCommand() {
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments).code());
	}

	/**
	 * Parses and runs a command line. Parse errors and {@link CommandException}s are
	 * printed to the standard error stream; other exceptions are thrown.
	 * @param arguments the command line; help is printed if it is empty
	 * @return the exit code
	 */
	static ExitCode run(String... arguments) {
		boolean version = arguments.length == 1 && "--version".equals(arguments[0]);
		try {
			Object command = cli().parse(version ? new String[] { "version" } : arguments);
			if (command instanceof CliCommand cliCommand) {
				return cliCommand.run();
			}
			if (arguments.length > 0 && !"help".equals(arguments[0])) {
				throw new CommandException(ExitCode.USAGE,
						"there is no command '" + arguments[0] + "'; see 'wagtailmux help'");
			}
			((Runnable) command).run();
			return ExitCode.DONE;
		}
		catch (ParseException ex) {
			System.err.println("wagtailmux: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (CommandException ex) {
			System.err.println("wagtailmux: " + ex.getMessage());
			return ex.code();
		}
	}

	private static Cli<Object> cli() {
		CliBuilder<Object> builder = Cli.builder("wagtailmux");
		builder.withDescription("Operates wagtailmux instances and runs embedded deployments")
			.withDefaultCommand(Help.class)
			.withCommand(Help.class)
			.withCommand(VersionCommand.class)
			.withCommand(DemoCommand.class)
			.withCommand(ApplyCommand.class)
			.withCommand(StatusCommand.class)
			.withCommand(ConfigCommand.class)
			.withCommand(DiffCommand.class)
			.withCommand(ZoneCommand.class)
			.withCommand(EndpointCommand.class)
			.withCommand(RefusalsCommand.class)
			.withCommand(StandInCommand.class)
			.withCommand(MeasureCommand.class)
			.withCommand(ExperimentCommand.class);
		return builder.build();
	}

}
