package io.wagtailmux.daemon.endpoint;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.StageProtocol;

/**
 * Call to an endpoint, made by one attempt to run a stage.
 *
 * @param id the id of the call, unique to this attempt
 * @param endpoint the endpoint to call
 * @param protocol the format of the request and the response
 * @param boot the only incarnation of the endpoint's process that may receive the call;
 * empty if any may
 * @param input the input of the stage
 * @param timeout the maximum duration of the call
 * @param stream the tokens received by earlier attempts; the call resumes after them and
 * appends the tokens that it receives
 * @author the wagtailmux developers
 */
public record StageCall(CallId id, Endpoint endpoint, StageProtocol protocol, Optional<BootId> boot, JsonElement input,
		Duration timeout, TokenStream stream) {

}
