package io.wagtailmux.model;

import java.net.URI;

/**
 * HTTP server that runs the stages of one pool.
 *
 * @param id the endpoint's id
 * @param pool the pool that the endpoint belongs to
 * @param zone the availability zone that the endpoint runs in
 * @param version the version of the software or model that the endpoint runs
 * @param address the base URL of its HTTP interface
 * @param labels labels set by the operator
 * @param leaving whether the endpoint is draining, so that it gets no new calls
 * @author the wagtailmux developers
 */
public record Endpoint(EndpointId id, PoolId pool, AvailabilityZoneId zone, VersionId version, URI address,
		Labels labels, boolean leaving) {

	/**
	 * Returns the labels that selectors are matched against. The labels derived from the
	 * endpoint itself replace labels of the operator with the same key.
	 * @return the operator's labels with {@code endpoint}, {@code pool},
	 * {@code availability-zone} and {@code version} added
	 */
	public Labels selectableLabels() {
		return this.labels.with(new Labels(java.util.Map.of("endpoint", this.id.value(), "pool", this.pool.value(),
				"availability-zone", this.zone.value(), "version", this.version.value())));
	}

}
