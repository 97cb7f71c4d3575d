package io.wagtailmux.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Lists the refusals of prompt parts that an instance of the event-driven engine knows,
 * or lifts one of them for all instances. The option {@code --operator} names the metrics
 * addresses of such instances; the first one is used.
 *
 * @author the wagtailmux developers
 */
@Command(name = "refusals", description = "Lists or lifts refusals of prompt parts that crashed endpoints")
public final class RefusalsCommand implements CliCommand {

	private static final int FIRST_PART = 2;

	@AirlineModule
	private OperatorOptions options = new OperatorOptions();

	@Arguments(title = { "ACTION", "POOL", "PARTS" },
			description = "list; or lift, the name of the pool and the ids of all parts of the refusal")
	@Required
	private List<String> arguments;

	@Override
	public ExitCode run() {
		OperatorClient client = this.options.clients().get(0);
		boolean lift = this.arguments.size() > FIRST_PART && "lift".equals(this.arguments.get(0));
		boolean list = this.arguments.size() == 1 && "list".equals(this.arguments.get(0));
		if (lift) {
			print(client.post(liftPath(), new JsonObject()));
			return ExitCode.DONE;
		}
		if (!list) {
			throw new CommandException(ExitCode.USAGE, "refusals: expected list, or lift POOL PART...");
		}
		JsonObject answer = client.get("/refusals");
		if (this.options.json()) {
			print(answer);
		}
		else {
			answer.getAsJsonArray("refusals").forEach(RefusalsCommand::print);
		}
		return ExitCode.DONE;
	}

	private String liftPath() {
		String parts = this.arguments.subList(FIRST_PART, this.arguments.size())
			.stream()
			.map((part) -> "&part=" + encoded(part))
			.collect(Collectors.joining());
		return "/refusals/lift?pool=" + encoded(this.arguments.get(1)) + parts;
	}

	private static String encoded(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

	private static void print(JsonElement answer) {
		System.out.println(answer);
	}

}
