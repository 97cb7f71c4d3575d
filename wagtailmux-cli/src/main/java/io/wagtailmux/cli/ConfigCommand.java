package io.wagtailmux.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Shows an accepted configuration, lists the accepted versions, or rolls back to an
 * earlier one.
 *
 * @author the wagtailmux developers
 */
@Command(name = "config", description = "Shows, lists or rolls back configurations")
public final class ConfigCommand implements CliCommand {

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Arguments(title = { "ACTION", "VERSION" },
			description = "show [VERSION] (the default), history, or rollback VERSION")
	private List<String> arguments = new ArrayList<>();

	@Option(name = "--wait", title = "SECONDS",
			description = "How long to wait until the change is in force on all instances; 0 does not wait")
	private int waitSeconds = 15;

	@Option(name = "--by", title = "NAME", description = "The name recorded with the change")
	private String by = System.getProperty("user.name");

	@Override
	public ExitCode run() {
		String action = this.arguments.isEmpty() ? "show" : this.arguments.get(0);
		return switch (action) {
			case "show" -> show();
			case "history" -> history();
			case "rollback" -> rollback();
			default -> throw new CommandException(ExitCode.USAGE, "'" + action + "' is not show, history or rollback");
		};
	}

	private ExitCode show() {
		JsonObject configuration = (this.arguments.size() > 1) ? requestedVersion() : get("/v1/configuration");
		System.out.println(this.options.json() ? configuration.toString() : configuration.get("text").getAsString());
		return ExitCode.DONE;
	}

	private ExitCode history() {
		JsonObject history = get("/v1/configuration/history");
		if (this.options.json()) {
			System.out.println(history);
			return ExitCode.DONE;
		}
		for (JsonElement element : history.getAsJsonArray("accepted")) {
			JsonObject entry = element.getAsJsonObject();
			System.out.println(entry.get("version").getAsLong() + "  " + entry.get("acceptedAt").getAsString() + "  "
					+ entry.get("acceptedBy").getAsString());
		}
		return ExitCode.DONE;
	}

	// Submits the earlier text as a new version, so that versions only ever increase
	// and no instance has to return to a lower one.
	private ExitCode rollback() {
		String text = requestedVersion().get("text").getAsString();
		long latest = get("/v1/configuration").get("version").getAsLong();
		return new ConfigurationChange(this.options, Duration.ofSeconds(this.waitSeconds)).replace(text, latest,
				this.by);
	}

	private JsonObject requestedVersion() {
		if (this.arguments.size() < 2) {
			throw new CommandException(ExitCode.USAGE, "VERSION is required; see 'wagtailmux config history'");
		}
		return get("/v1/configuration/" + this.arguments.get(1));
	}

	private JsonObject get(String path) {
		return this.options.clients().get(0).get(path);
	}

}
