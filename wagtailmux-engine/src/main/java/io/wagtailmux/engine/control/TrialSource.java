package io.wagtailmux.engine.control;

import java.util.List;
import java.util.function.Consumer;

import io.wagtailmux.engine.state.TrialReport;

/**
 * Tells what this instance's own traffic saw of versions under trial.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface TrialSource {

	/**
	 * Asks for the reports.
	 * @param taker takes them, on any thread
	 */
	void collect(Consumer<List<TrialReport>> taker);

}
