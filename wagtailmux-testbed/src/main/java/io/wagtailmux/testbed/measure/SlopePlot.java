package io.wagtailmux.testbed.measure;

import java.io.IOException;
import java.nio.file.Path;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

import io.wagtailmux.testbed.standin.StandInException;

/**
 * Plots of slopes with their measured points.
 *
 * @author the wagtailmux developers
 */
public final class SlopePlot {

	private static final int WIDTH_PIXELS = 800;

	private static final int HEIGHT_PIXELS = 500;

	private SlopePlot() {
	}

	/**
	 * Writes a PNG file for each slope of a report.
	 * @param report the report
	 * @param folder the folder for the files, which must exist; files of the same name
	 * are replaced
	 * @throws StandInException if a file cannot be written
	 */
	public static void write(SlopeReport report, Path folder) {
		report.slopes().forEach((slope) -> write(slope, folder));
	}

	private static void write(Slope slope, Path folder) {
		XYSeries measured = new XYSeries("measured");
		XYSeries line = new XYSeries("fitted line");
		slope.points().forEach((point) -> {
			measured.add(point.size(), point.cost());
			line.add(point.size(), slope.intercept() + slope.slope() * point.size());
		});
		XYSeriesCollection data = new XYSeriesCollection(measured);
		data.addSeries(line);
		JFreeChart chart = ChartFactory.createXYLineChart(slope.name(), slope.size(), slope.unit(), data);
		String file = slope.name().replaceAll("[^a-z]+", "-") + ".png";
		try {
			ChartUtils.saveChartAsPNG(folder.resolve(file).toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
		}
		catch (IOException ex) {
			throw new StandInException("cannot write " + file, ex);
		}
	}

}
