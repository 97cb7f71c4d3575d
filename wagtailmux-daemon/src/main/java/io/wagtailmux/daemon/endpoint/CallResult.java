package io.wagtailmux.daemon.endpoint;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.gson.JsonElement;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.BootId;

/**
 * Result of a call to an endpoint.
 *
 * @param outcome the kind of result
 * @param output the stage's output, present if and only if the outcome is
 * {@link CallOutcome#ANSWERED}
 * @param duration the time from the start of the call to its end
 * @param boot the incarnation of the endpoint's process on the remote side; empty if it
 * is not known
 * @param reportedLoad the number of calls in flight that the endpoint reported; empty if
 * it reported none
 * @param detail the HTTP status or the error, for the log
 * @author the wagtailmux developers
 */
public record CallResult(CallOutcome outcome, Optional<JsonElement> output, Duration duration, Optional<BootId> boot,
		OptionalInt reportedLoad, String detail) {

}
