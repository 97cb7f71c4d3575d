package io.wagtailmux.decision.stage;

import java.time.Duration;

/**
 * What decides which of the pieces of a pool are sent before a new one.
 *
 * @param priority the priority of its request; zero is the most urgent
 * @param slack the time until it must start for its request to meet the target time;
 * negative if it will not
 * @author the wagtailmux developers
 */
public record PieceUrgency(int priority, Duration slack) {

}
