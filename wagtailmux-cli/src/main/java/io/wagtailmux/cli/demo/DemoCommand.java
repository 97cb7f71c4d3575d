package io.wagtailmux.cli.demo;

import java.net.URI;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

import io.wagtailmux.cli.CommandLine;
import io.wagtailmux.cli.ExitCode;
import io.wagtailmux.cli.OutputFormat;
import io.wagtailmux.cli.UntilInterrupted;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;

/**
 * Runs the embedded default.
 *
 * @author the wagtailmux developers
 */
@Command(name = "demo",
		description = "Runs a platform, endpoints and instances in one process and sends requests through them")
public final class DemoCommand implements CommandLine {

	@Option(name = "--serve", description = "Stays up until SIGINT instead of sending requests")
	private boolean serve;

	@Option(name = "--output", title = "FORMAT", description = "json or text")
	@AllowedRawValues(allowedValues = { OutputFormat.JSON, OutputFormat.TEXT })
	private String output = OutputFormat.TEXT;

	@Option(name = "--example", title = "NAME", description = "PEMBERTON or PUMBAVAHTI")
	private ExampleConfiguration example = ExampleConfiguration.PEMBERTON;

	@Option(name = "--instances", title = "COUNT", description = "The number of instances")
	private int instances = 3;

	@Override
	public ExitCode run() {
		System.setProperty("wagtailmux.log.level", System.getProperty("wagtailmux.log.level", "WARN"));
		try (LocalDeployment deployment = new LocalDeployment(this.example.text(), this.instances,
				DispatchPolicy.STANDARD)) {
			if (this.serve) {
				System.out.println(describe(deployment));
				UntilInterrupted.await();
				return ExitCode.DONE;
			}
			return new DemoSession(deployment, this.example, OutputFormat.JSON.equals(this.output)).run();
		}
	}

	private static JsonObject describe(LocalDeployment deployment) {
		JsonArray entries = new JsonArray();
		deployment.callerAddresses().forEach((entry) -> entries.add(entry.toString()));
		JsonObject tokens = new JsonObject();
		JsonArray pipelines = new JsonArray();
		JsonArray endpoints = new JsonArray();
		deployment.endpoints()
			.configuration()
			.organisations()
			.keySet()
			.forEach((id) -> tokens.addProperty(id.value(), tokenOf(id)));
		deployment.endpoints().configuration().pipelines().keySet().forEach((id) -> pipelines.add(id.value()));
		deployment.endpoints().configuration().endpoints().values().forEach((endpoint) -> {
			JsonObject entry = new JsonObject();
			entry.addProperty("id", endpoint.id().value());
			entry.addProperty("zone", endpoint.zone().value());
			entry.addProperty("version", endpoint.version().value());
			entry.addProperty("url", deployment.endpoints().endpoint(endpoint.id().value()).address().toString());
			endpoints.add(entry);
		});
		JsonObject description = new JsonObject();
		description.add("entries", entries);
		description.add("tokens", tokens);
		description.addProperty("operator", operator(deployment).toString());
		description.addProperty("operatorToken", LocalDeployment.OPERATOR_TOKEN);
		description.add("pipelines", pipelines);
		description.add("endpoints", endpoints);
		return description;
	}

	/**
	 * Returns the token of an organisation of the examples.
	 * @param organisation the organisation
	 * @return its token
	 */
	static String tokenOf(OrganisationId organisation) {
		return "token-" + organisation;
	}

	private static URI operator(LocalDeployment deployment) {
		return URI.create("http://127.0.0.1:" + deployment.instances().get(0).operatorPort());
	}

}
