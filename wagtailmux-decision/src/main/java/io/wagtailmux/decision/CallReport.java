package io.wagtailmux.decision;

import java.time.Duration;
import java.util.OptionalInt;

import io.wagtailmux.model.EndpointId;

/**
 * Result of a call that was assigned to an endpoint.
 *
 * @param endpoint the endpoint that the call was assigned to
 * @param outcome how the call ended
 * @param duration the time from the start of the call to its end
 * @param reportedLoad the number of calls in flight from all instances, as the endpoint
 * reported it with its answer; empty if it reported none
 * @author the wagtailmux developers
 */
public record CallReport(EndpointId endpoint, CallOutcome outcome, Duration duration, OptionalInt reportedLoad) {

}
