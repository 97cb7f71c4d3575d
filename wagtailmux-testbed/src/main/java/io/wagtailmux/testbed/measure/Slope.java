package io.wagtailmux.testbed.measure;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Growth of a cost with a size: the least-squares line through measured points.
 *
 * @param name what was measured
 * @param size the unit of the size
 * @param unit the unit of the cost
 * @param points the measured points
 * @param slope cost per unit of size
 * @param slopeError half the width of the slope's 95% confidence interval
 * @param intercept the cost at size zero
 * @param rSquare the coefficient of determination, the part of the variance that the line
 * explains
 * @author the wagtailmux developers
 */
public record Slope(String name, String size, String unit, List<SlopePoint> points, double slope, double slopeError,
		double intercept, double rSquare) {

	/**
	 * Fits a line by the method of least squares.
	 * @param name what was measured
	 * @param size the unit of the size
	 * @param unit the unit of the cost
	 * @param points at least three measured points
	 * @return the slope
	 */
	public static Slope fit(String name, String size, String unit, List<SlopePoint> points) {
		SimpleRegression regression = new SimpleRegression();
		points.forEach((point) -> regression.addData(point.size(), point.cost()));
		return new Slope(name, size, unit, List.copyOf(points), regression.getSlope(),
				regression.getSlopeConfidenceInterval(), regression.getIntercept(), regression.getRSquare());
	}

}
