package io.wagtailmux.engine.control;

import java.util.List;
import java.util.function.Consumer;

import io.wagtailmux.engine.state.TrialReport;

/**
 * Source of this instance's own reports on versions under trial.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface TrialSource {

	/**
	 * Requests the reports. Returns at once.
	 * @param consumer receives the reports, on any thread
	 */
	void collect(Consumer<List<TrialReport>> consumer);

}
