package io.wagtailmux.cli;

import java.util.Optional;

import com.github.rvesse.airline.annotations.Command;

/**
 * Prints the version of the JAR file, or {@code unpackaged} if the classes were not
 * loaded from one.
 *
 * @author the wagtailmux developers
 */
@Command(name = "version", description = "Prints the version; the option --version does the same")
public final class VersionCommand implements CliCommand {

	@Override
	public ExitCode run() {
		String version = VersionCommand.class.getPackage().getImplementationVersion();
		System.out.println("wagtailmux " + Optional.ofNullable(version).orElse("unpackaged"));
		return ExitCode.DONE;
	}

}
