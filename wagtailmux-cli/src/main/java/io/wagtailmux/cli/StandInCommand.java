package io.wagtailmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import io.wagtailmux.testbed.deployment.StandInEndpoints;
import io.wagtailmux.testbed.standin.StandInPlatform;

/**
 * Runs a stand-in for the platform and stand-ins for the endpoints of a configuration,
 * for instances that are started manually.
 *
 * @author the wagtailmux developers
 */
@Command(name = "stand-in", description = "Runs a platform and a configuration's endpoints until SIGINT or SIGTERM")
public final class StandInCommand implements CliCommand {

	@Arguments(title = "FILE",
			description = "The INI file; its endpoints listen on their configured ports, on loopback")
	@Required
	private String file;

	@Option(name = "--platform-port", title = "PORT", description = "The port of the platform")
	private int platformPort = 8300;

	@Override
	public ExitCode run() {
		try (StandInPlatform platform = new StandInPlatform(this.platformPort);
				StandInEndpoints endpoints = StandInEndpoints.onConfiguredPorts(Files.readString(Path.of(this.file)))) {
			System.out.println("platform on port " + this.platformPort + ", " + endpoints.all().size() + " endpoints");
			ShutdownSignal.await();
			return ExitCode.DONE;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read " + this.file);
		}
	}

}
