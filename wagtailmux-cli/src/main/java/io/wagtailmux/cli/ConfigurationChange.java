package io.wagtailmux.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import com.google.gson.JsonObject;

import io.wagtailmux.store.configuration.ConfigurationFormat;
import io.wagtailmux.store.ini.IniException;

/**
 * Submits a configuration as the successor of a known version and waits until it is in
 * force on all instances.
 *
 * @author the wagtailmux developers
 */
final class ConfigurationChange {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

	private final OperatorOptions options;

	private final List<OperatorClient> clients;

	private final Duration maximumWait;

	/**
	 * Creates a change without sending it.
	 * @param options the instances, the token and the output format
	 * @param maximumWait how long to wait until the configuration is in force on all
	 * instances; zero does not wait
	 */
	ConfigurationChange(OperatorOptions options, Duration maximumWait) {
		this.options = options;
		this.clients = options.clients();
		this.maximumWait = maximumWait;
	}

	/**
	 * Applies an edit to the current configuration. Fails with {@link ExitCode#CONFLICT}
	 * if another change was accepted since the text was read.
	 * @param change returns the new INI text for the current one
	 * @param by the name recorded with the change
	 * @return {@link ExitCode#NOT_EVERYWHERE} if there is a wait and it ends before the
	 * configuration is in force on all instances, else {@link ExitCode#DONE}
	 * @throws CommandException if the configuration is invalid or not accepted
	 */
	ExitCode edit(UnaryOperator<String> change, String by) {
		JsonObject current = this.clients.get(0).get("/v1/configuration");
		return replace(change.apply(current.get("text").getAsString()), current.get("version").getAsLong(), by);
	}

	/**
	 * Replaces the current configuration.
	 * @param text the new INI text
	 * @param expectedVersion the version that the text replaces; negative for the latest
	 * @param by the name recorded with the change
	 * @return {@link ExitCode#NOT_EVERYWHERE} if there is a wait and it ends before the
	 * configuration is in force on all instances, else {@link ExitCode#DONE}
	 * @throws CommandException if the configuration is invalid or not accepted
	 */
	ExitCode replace(String text, long expectedVersion, String by) {
		validate(text);
		OperatorClient first = this.clients.get(0);
		JsonObject request = new JsonObject();
		request.addProperty("text", text);
		request.addProperty("expectedVersion",
				(expectedVersion >= 0) ? expectedVersion : first.get("/v1/configuration").get("version").getAsLong());
		request.addProperty("by", by);
		long version = first.post("/v1/configuration", request).get("version").getAsLong();
		List<String> outdated = awaitInForce(version);
		report(version, outdated);
		return (outdated.isEmpty() || this.maximumWait.isZero()) ? ExitCode.DONE : ExitCode.NOT_EVERYWHERE;
	}

	private static void validate(String text) {
		try {
			ConfigurationFormat.read(text);
		}
		catch (IniException ex) {
			throw new CommandException(ExitCode.USAGE,
					"the configuration is not valid:" + System.lineSeparator() + ex.getMessage());
		}
	}

	// Returns a line for each instance that does not have the version in force when the
	// wait ends or the thread is interrupted.
	private List<String> awaitInForce(long version) {
		long end = System.nanoTime() + this.maximumWait.toNanos();
		List<String> outdated = findOutdated(version);
		while (!outdated.isEmpty() && System.nanoTime() < end) {
			try {
				Thread.sleep(POLL_INTERVAL.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return outdated;
			}
			outdated = findOutdated(version);
		}
		return outdated;
	}

	private List<String> findOutdated(long version) {
		List<String> outdated = new ArrayList<>();
		for (OperatorClient client : this.clients) {
			try {
				long inForce = client.get("/v1/status").get("configurationVersion").getAsLong();
				if (inForce < version) {
					outdated.add(client.address() + " has " + inForce);
				}
			}
			catch (CommandException ex) {
				outdated.add(client.address() + " cannot be reached or reports an error");
			}
		}
		return outdated;
	}

	private void report(long version, List<String> outdated) {
		int inForce = this.clients.size() - outdated.size();
		if (this.options.json()) {
			JsonObject report = new JsonObject();
			report.addProperty("version", version);
			report.addProperty("instances", this.clients.size());
			report.addProperty("inForce", inForce);
			System.out.println(report);
			return;
		}
		System.out.println("configuration " + version + " accepted, in force on " + inForce + " of "
				+ this.clients.size() + " instances");
		outdated.forEach((instance) -> System.out.println("  " + instance));
	}

}
