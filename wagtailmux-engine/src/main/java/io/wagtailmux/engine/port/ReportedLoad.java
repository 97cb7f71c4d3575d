package io.wagtailmux.engine.port;

/**
 * Load of an endpoint as reported by it.
 *
 * @param running the number of requests in execution
 * @param waiting the number of queued requests
 * @author the wagtailmux developers
 */
public record ReportedLoad(int running, int waiting) {

}
