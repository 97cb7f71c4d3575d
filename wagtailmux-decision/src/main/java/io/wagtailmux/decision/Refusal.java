package io.wagtailmux.decision;

import java.time.Duration;

/**
 * Decision to reject a ticket, on submission or while it waits.
 *
 * @param reason why the ticket is refused
 * @param retryAfter the time after which the caller should retry
 * @param detail the figures behind the decision, as text for the decision log
 * @author the wagtailmux developers
 */
public record Refusal(RefusalReason reason, Duration retryAfter, String detail) {

}
