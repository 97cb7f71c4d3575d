package io.wagtailmux.cli.demo;

import java.net.URI;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

import io.wagtailmux.cli.CliCommand;
import io.wagtailmux.cli.ExitCode;
import io.wagtailmux.cli.OutputFormat;
import io.wagtailmux.cli.ShutdownSignal;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;

/**
 * Runs a stand-in for the platform, stand-ins for the endpoints of an example, and
 * instances, all in one process, and sends requests through them or keeps them running
 * for manual use.
 *
 * @author the wagtailmux developers
 */
@Command(name = "demo",
		description = "Runs a platform, endpoints and instances in one process and sends requests through them")
public final class DemoCommand implements CliCommand {

	@Option(name = "--serve", description = "Runs until SIGINT or SIGTERM instead of sending requests")
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
				ShutdownSignal.await();
				return ExitCode.DONE;
			}
			return new DemoSession(deployment, this.example, OutputFormat.JSON.equals(this.output)).run();
		}
	}

	// Lists what a caller or operator needs to reach the deployment.
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
	 * Returns the token of an organisation of the example configurations.
	 * @param organisation the organisation
	 * @return the token that its callers send
	 */
	static String tokenOf(OrganisationId organisation) {
		return "token-" + organisation;
	}

	private static URI operator(LocalDeployment deployment) {
		return URI.create("http://127.0.0.1:" + deployment.instances().get(0).operatorPort());
	}

}
