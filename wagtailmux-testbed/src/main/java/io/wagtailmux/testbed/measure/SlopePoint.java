package io.wagtailmux.testbed.measure;

/**
 * Measured cost at one size.
 *
 * @param size the size, in the unit of the {@link Slope}
 * @param cost the cost, in the unit of the {@link Slope}
 * @author the wagtailmux developers
 */
public record SlopePoint(double size, double cost) {

}
