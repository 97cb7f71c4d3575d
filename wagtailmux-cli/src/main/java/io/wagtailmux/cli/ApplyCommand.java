package io.wagtailmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Submits a configuration and waits until it is in force on all instances named by
 * {@code --operator}.
 *
 * @author the wagtailmux developers
 */
@Command(name = "apply", description = "Submits a configuration and waits until it is in force on all instances")
public final class ApplyCommand implements CliCommand {

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Arguments(title = "FILE", description = "The INI file")
	@Required
	private String file;

	@Option(name = "--wait", title = "SECONDS",
			description = "How long to wait until the change is in force on all instances; 0 does not wait")
	private int waitSeconds = 15;

	@Option(name = "--expect", title = "VERSION",
			description = "The version that the change replaces; by default the latest")
	private long expectedVersion = -1;

	@Option(name = "--by", title = "NAME", description = "The name recorded with the change")
	private String by = System.getProperty("user.name");

	@Override
	public ExitCode run() {
		try {
			String text = Files.readString(Path.of(this.file));
			return new ConfigurationChange(this.options, Duration.ofSeconds(this.waitSeconds)).replace(text,
					this.expectedVersion, this.by);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read " + this.file);
		}
	}

}
