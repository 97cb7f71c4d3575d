package io.wagtailmux.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/**
 * Prints the status that each instance reports. An instance that cannot be reached or
 * reports an error is listed with the error, and the exit code is that of the last such
 * error.
 *
 * @author the wagtailmux developers
 */
@Command(name = "status", description = "Shows the status of each instance and its configuration version")
public final class StatusCommand implements CliCommand {

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Override
	public ExitCode run() {
		JsonArray statuses = new JsonArray();
		ExitCode code = ExitCode.DONE;
		for (OperatorClient client : this.options.clients()) {
			JsonObject status = new JsonObject();
			try {
				status = client.get("/v1/status");
			}
			catch (CommandException ex) {
				status.addProperty("operator", client.address());
				status.addProperty("error", ex.getMessage());
				code = ex.code();
			}
			statuses.add(status);
		}
		print(statuses);
		return code;
	}

	private void print(JsonArray statuses) {
		if (this.options.json()) {
			System.out.println(statuses);
			return;
		}
		statuses.forEach((element) -> System.out.println(element.getAsJsonObject()
			.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + "=" + entry.getValue())
			.reduce("", (left, right) -> left.isEmpty() ? right : left + "  " + right)));
	}

}
