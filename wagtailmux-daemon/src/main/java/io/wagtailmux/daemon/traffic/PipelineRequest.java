package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;

import io.wagtailmux.daemon.endpoint.TokenSink;
import io.wagtailmux.model.IdempotencyKey;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.model.RequestId;

/**
 * A caller's request to run a pipeline.
 *
 * @param id the request's id
 * @param organisation the organisation of the caller
 * @param pipeline the pipeline to run
 * @param input the first stage's input
 * @param key the idempotency key; empty if the caller sent none
 * @param deadline the time by which the answer is due, as elapsed time of the instance's
 * clock
 * @param sink receives the tokens of the last stage if the stage streams them
 * @author the wagtailmux developers
 */
public record PipelineRequest(RequestId id, Organisation organisation, Pipeline pipeline, JsonElement input,
		Optional<IdempotencyKey> key, Duration deadline, TokenSink sink) {

}
