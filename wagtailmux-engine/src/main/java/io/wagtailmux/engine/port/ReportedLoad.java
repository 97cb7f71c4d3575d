package io.wagtailmux.engine.port;

import java.util.OptionalDouble;

/**
 * Load of an endpoint as reported by it.
 *
 * @param running the number of requests in execution
 * @param waiting the number of queued requests
 * @param workTime how long work takes there at this moment, as a multiple of the usual
 * time; empty if it is not stated or not credible
 * @author the wagtailmux developers
 */
public record ReportedLoad(int running, int waiting, OptionalDouble workTime) {

}
