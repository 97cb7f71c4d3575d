package io.wagtailmux.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.gson.GsonBuilder;

import io.wagtailmux.testbed.measure.ConfigurationMeasurement;
import io.wagtailmux.testbed.measure.OverheadMeasurement;
import io.wagtailmux.testbed.measure.SlopePlot;
import io.wagtailmux.testbed.measure.SlopeReport;

/**
 * Measures latency and resource usage of embedded deployments on this host and prints a
 * report as JSON.
 *
 * @author the wagtailmux developers
 */
@Command(name = "measure", description = "Measures latency and resource usage; prints JSON")
public final class MeasureCommand implements CliCommand {

	@Arguments(title = "WHAT",
			description = "overhead: the time that an instance adds to a stage; slopes: how costs grow with size; "
					+ "configuration: how long a change takes to be in force")
	@Required
	@AllowedRawValues(allowedValues = { "overhead", "slopes", "configuration" })
	private String measurement;

	@Option(name = "--rounds", title = "COUNT",
			description = "How many requests to send or changes to make; not used by slopes")
	private int rounds = 500;

	@Option(name = "--plots", title = "FOLDER", description = "An existing folder for a plot of each slope")
	private String plotFolder;

	@Override
	public ExitCode run() {
		System.setProperty("wagtailmux.log.level", System.getProperty("wagtailmux.log.level", "WARN"));
		Object report = measure();
		System.out.println(new GsonBuilder().setPrettyPrinting().create().toJson(report));
		return ExitCode.DONE;
	}

	private Object measure() {
		return switch (this.measurement) {
			case "overhead" -> new OverheadMeasurement().measure(this.rounds);
			case "configuration" -> List.of(ConfigurationMeasurement.measure(this.rounds, Duration.ZERO),
					ConfigurationMeasurement.measure(this.rounds, Duration.ofMillis(300)));
			default -> measureSlopes();
		};
	}

	private SlopeReport measureSlopes() {
		SlopeReport report = SlopeReport.measure();
		if (this.plotFolder != null) {
			SlopePlot.write(report, Path.of(this.plotFolder));
		}
		return report;
	}

}
