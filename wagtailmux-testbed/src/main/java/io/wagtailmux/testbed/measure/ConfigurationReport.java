package io.wagtailmux.testbed.measure;

/**
 * Times from accepting a configuration change until it is in force on all instances.
 *
 * @param instances the number of instances
 * @param changes the number of changes
 * @param storeDelayMilliseconds the delay added to each operation of the platform
 * @param medianMilliseconds the median time
 * @param largestMilliseconds the longest time
 * @author the wagtailmux developers
 */
public record ConfigurationReport(int instances, int changes, long storeDelayMilliseconds, long medianMilliseconds,
		long largestMilliseconds) {

}
