package io.wagtailmux.daemon.endpoint;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.StageProtocol;

/**
 * A call to be made.
 *
 * @param id the attempt
 * @param endpoint where to
 * @param protocol in which format
 * @param boot the run of the endpoint's process that may take it, if one is known
 * @param input the stage's input
 * @param timeout how long the call may take
 * @param stream the tokens of the stage so far; the call continues after them
 * @author the wagtailmux developers
 */
public record StageCall(CallId id, Endpoint endpoint, StageProtocol protocol, Optional<BootId> boot, JsonElement input,
		Duration timeout, TokenStream stream) {

}
