package io.wagtailmux.cli;

import java.time.Duration;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Takes an availability zone out of service or returns it, by a change of the
 * configuration.
 *
 * @author the wagtailmux developers
 */
@Command(name = "zone", description = "Takes an availability zone out of service, or returns it")
public final class ZoneCommand implements CliCommand {

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Arguments(title = { "ACTION", "NAME" }, description = "out or return, and the name of the availability zone")
	@Required
	private List<String> arguments;

	@Option(name = "--wait", title = "SECONDS",
			description = "How long to wait until the change is in force on all instances; 0 does not wait")
	private int waitSeconds = 15;

	@Option(name = "--by", title = "NAME", description = "The name recorded with the change")
	private String by = System.getProperty("user.name");

	@Override
	public ExitCode run() {
		ServiceStateEdit change = new ServiceStateEdit("availability-zone", "out", "out", this.arguments);
		return new ConfigurationChange(this.options, Duration.ofSeconds(this.waitSeconds)).edit(change::apply, this.by);
	}

}
