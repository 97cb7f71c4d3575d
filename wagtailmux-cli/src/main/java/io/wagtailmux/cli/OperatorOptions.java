package io.wagtailmux.cli;

import java.util.Arrays;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;

/**
 * Options common to all commands that call the operators' interface of instances.
 *
 * @author the wagtailmux developers
 */
public final class OperatorOptions {

	@Option(name = "--operator", title = "URLS",
			description = "URLs of the operators' interfaces of the instances, separated by commas; "
					+ "by default WAGTAILMUX_OPERATOR, or http://127.0.0.1:8201 without it")
	private String operators = System.getenv().getOrDefault("WAGTAILMUX_OPERATOR", "http://127.0.0.1:8201");

	@Option(name = "--token", title = "TOKEN", description = "The operators' token; by default WAGTAILMUX_TOKEN")
	private String token = System.getenv().getOrDefault("WAGTAILMUX_TOKEN", "");

	@Option(name = "--output", title = "FORMAT", description = "json or text")
	@AllowedRawValues(allowedValues = { OutputFormat.JSON, OutputFormat.TEXT })
	private String output = OutputFormat.TEXT;

	/**
	 * Creates a client for each instance.
	 * @return the clients in the order of the option; at least one
	 * @throws CommandException if an address is not an HTTP URL
	 */
	List<OperatorClient> clients() {
		return Arrays.stream(this.operators.split(","))
			.map((address) -> new OperatorClient(address.trim(), this.token))
			.toList();
	}

	/**
	 * Returns whether to print JSON instead of text.
	 * @return whether the output format is JSON
	 */
	boolean json() {
		return OutputFormat.JSON.equals(this.output);
	}

}
