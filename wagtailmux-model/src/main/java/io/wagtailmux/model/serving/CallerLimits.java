package io.wagtailmux.model.serving;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes the largest size of the headers of a request, in bytes
 * @param bodyBytes the largest size of the body of a request, in bytes
 * @param headerTimeout the time within which the headers must be complete, from the first
 * byte of a request
 * @param idleTimeout how long a connection without a request is kept open. The body must
 * be complete within the sum of both timeouts after the headers
 * @author the wagtailmux developers
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

}
