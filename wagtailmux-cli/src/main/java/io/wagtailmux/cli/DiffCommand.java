package io.wagtailmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import io.wagtailmux.store.configuration.ConfigurationDifference;
import io.wagtailmux.store.ini.IniException;

/**
 * Lists the differences between the current configuration and a file, sorted, one per
 * line.
 *
 * @author the wagtailmux developers
 */
@Command(name = "diff", description = "Lists what applying a configuration would change")
public final class DiffCommand implements CliCommand {

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Arguments(title = "FILE", description = "The INI file")
	@Required
	private String file;

	@Override
	public ExitCode run() {
		String current = this.options.clients().get(0).get("/v1/configuration").get("text").getAsString();
		try {
			Set<String> differences = new TreeSet<>(
					ConfigurationDifference.of(current, Files.readString(Path.of(this.file))));
			differences.forEach(System.out::println);
			System.out.println(differences.size() + " changes");
			return ExitCode.DONE;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read " + this.file);
		}
		catch (IniException ex) {
			throw new CommandException(ExitCode.USAGE,
					"the configuration is not valid:" + System.lineSeparator() + ex.getMessage());
		}
	}

}
