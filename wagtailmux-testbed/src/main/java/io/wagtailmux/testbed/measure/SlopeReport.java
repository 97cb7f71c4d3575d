package io.wagtailmux.testbed.measure;

import java.util.ArrayList;
import java.util.List;

/**
 * Measurements from which the figures of docs/CAPACITY.md are calculated.
 *
 * @param slopes the slopes
 * @param messages the sizes of messages between instances
 * @author the wagtailmux developers
 */
public record SlopeReport(List<Slope> slopes, List<MessageSize> messages) {

	/**
	 * Runs all measurements on this host, one after the other, which takes more than a
	 * minute.
	 * @return the report
	 */
	public static SlopeReport measure() {
		DecisionSlopes decisions = new DecisionSlopes();
		List<Slope> slopes = new ArrayList<>(
				List.of(decisions.routing(), decisions.queueing(), decisions.granting(), decisions.configuration()));
		slopes.addAll(new ControlSlopes().measure());
		return new SlopeReport(slopes, ControlSlopes.messageSizes());
	}

}
