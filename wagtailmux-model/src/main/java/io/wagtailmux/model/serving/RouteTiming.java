package io.wagtailmux.model.serving;

import java.time.Duration;

/**
 * Timeout and latency targets of the requests of a route.
 *
 * @param timeout the longest time until a request is answered or fails
 * @param target the target for the latency of the response, or of the first event of a
 * stream
 * @param longestPause the target for the time between two events of a stream; zero if the
 * route has no such target
 * @author the wagtailmux developers
 */
public record RouteTiming(Duration timeout, Duration target, Duration longestPause) {

}
