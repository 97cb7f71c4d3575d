package io.wagtailmux.decision.placement;

/**
 * The choice of an endpoint, with its reason.
 *
 * @param endpoint the load of the chosen endpoint
 * @param reason the figures behind the choice, as text for the log
 * @author the wagtailmux developers
 */
public record Placement(EndpointLoad endpoint, String reason) {

}
