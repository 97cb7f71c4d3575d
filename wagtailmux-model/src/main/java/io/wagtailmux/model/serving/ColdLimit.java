package io.wagtailmux.model.serving;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Rate limit of an endpoint that has recently started.
 *
 * @param duration how long an endpoint is cold after its start; zero if it is never cold
 * @param requestsPerSecond the request rate of a cold endpoint, from all instances
 * together, which may be zero; empty if there is no limit
 * @author the wagtailmux developers
 */
public record ColdLimit(Duration duration, OptionalDouble requestsPerSecond) {

}
