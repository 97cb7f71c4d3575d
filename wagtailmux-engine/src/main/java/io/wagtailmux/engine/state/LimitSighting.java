package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.EndpointId;

/**
 * What the answers of one process of an endpoint to one instance said about its limit.
 *
 * @param endpoint the endpoint
 * @param startedAtMillis when its process started, in milliseconds since the epoch
 * @param requestsPerSecond the limit that was named last
 * @param namedAt the elapsed time at which it was named last
 * @param notNamedAt the elapsed time of the last answer that named none; empty if there
 * was none since the first that did
 * @author the wagtailmux developers
 */
public record LimitSighting(EndpointId endpoint, long startedAtMillis, double requestsPerSecond, Duration namedAt,
		Optional<Duration> notNamedAt) {

}
