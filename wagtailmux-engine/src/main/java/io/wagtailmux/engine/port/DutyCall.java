package io.wagtailmux.engine.port;

import java.util.function.BooleanSupplier;

import io.wagtailmux.decision.duty.FencingToken;
import io.wagtailmux.model.InstanceId;

/**
 * What every call of the holder of the duties states, and its condition.
 *
 * @param holder the instance
 * @param token its fencing token
 * @param stillHeld returns whether the call may still be made; asked on the traffic
 * thread right before the bytes are written
 * @author the wagtailmux developers
 */
public record DutyCall(InstanceId holder, FencingToken token, BooleanSupplier stillHeld) {

}
