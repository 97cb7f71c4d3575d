package io.wagtailmux.testbed.measure;

import java.time.Duration;

import org.HdrHistogram.Histogram;

import io.wagtailmux.daemon.Instance;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.configuration.ConfigurationStore;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.StandInException;

/**
 * Measures how long it takes from accepting a configuration until it is in force on all
 * instances.
 *
 * @author the wagtailmux developers
 */
public final class ConfigurationMeasurement {

	private static final int INSTANCES = 9;

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

	private ConfigurationMeasurement() {
	}

	/**
	 * Runs the measurement on a deployment of its own.
	 * @param changes the number of changes, made one after the other
	 * @param storeDelay the delay added to each operation of the platform
	 * @return the times from acceptance until the change is in force on all instances
	 * @throws StandInException if a change is not accepted or not in force on an instance
	 * after 30 seconds
	 */
	public static ConfigurationReport measure(int changes, Duration storeDelay) {
		Histogram times = new Histogram(3);
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), INSTANCES,
				DispatchPolicy.STANDARD)) {
			deployment.platform().setDelay(storeDelay);
			ConfigurationStore store = new ConfigurationStore(
					Platform.connect(deployment.platform().addresses(PLATFORM_TIMEOUT)), TimeSource.system());
			for (int change = 1; change <= changes; change++) {
				long version = store.accept(deployment.endpoints().text() + "\n; " + change + "\n", change, "measure")
					.orElseThrow(() -> new StandInException(
							"configuration change rejected: another change was accepted", null));
				long accepted = System.nanoTime();
				deployment.instances().forEach((instance) -> awaitVersion(instance, version));
				times.recordValue((System.nanoTime() - accepted) / 1_000_000);
			}
		}
		return new ConfigurationReport(INSTANCES, changes, storeDelay.toMillis(), times.getValueAtPercentile(50),
				times.getMaxValue());
	}

	private static void awaitVersion(Instance instance, long version) {
		long end = System.nanoTime() + MAXIMUM_WAIT.toNanos();
		while (instance.configurationVersion() < version) {
			if (System.nanoTime() > end) {
				throw new StandInException(
						"configuration " + version + " is not in force on an instance after " + MAXIMUM_WAIT, null);
			}
			try {
				Thread.sleep(1);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new StandInException("interrupted while waiting for a configuration", ex);
			}
		}
	}

}
