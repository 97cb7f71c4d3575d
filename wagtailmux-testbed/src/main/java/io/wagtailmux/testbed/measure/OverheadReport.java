package io.wagtailmux.testbed.measure;

/**
 * Latency that an instance adds to a stage, in milliseconds.
 *
 * @param requests the number of requests sent through the instance, and of direct passes
 * through all stages
 * @param stages the number of stages of the pipeline
 * @param addedMedianMilliseconds the difference of the medians, divided by the number of
 * stages
 * @param addedP99Milliseconds the difference of the 99th percentiles, divided by the
 * number of stages
 * @param directMedianMilliseconds the median time of calling all stages directly, one
 * after the other
 * @param throughMedianMilliseconds the median time of a request through an instance
 * @author the wagtailmux developers
 */
public record OverheadReport(int requests, int stages, double addedMedianMilliseconds, double addedP99Milliseconds,
		double directMedianMilliseconds, double throughMedianMilliseconds) {

}
