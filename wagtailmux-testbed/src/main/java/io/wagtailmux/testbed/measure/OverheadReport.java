package io.wagtailmux.testbed.measure;

/**
 * Latency that an instance adds to a stage, in milliseconds.
 *
 * @param requests the number of requests sent each way
 * @param stages the number of stages of the pipeline
 * @param addedMedianMilliseconds the difference of the medians, divided by the number of
 * stages
 * @param addedP99Milliseconds the difference of the 99th percentiles, divided by the
 * number of stages
 * @param directMedianMilliseconds the median of calling all stages directly
 * @param throughMedianMilliseconds the median of a request through an instance
 * @author the wagtailmux developers
 */
public record OverheadReport(int requests, int stages, double addedMedianMilliseconds, double addedP99Milliseconds,
		double directMedianMilliseconds, double throughMedianMilliseconds) {

}
