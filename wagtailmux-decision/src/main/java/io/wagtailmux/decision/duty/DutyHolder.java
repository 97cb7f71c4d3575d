package io.wagtailmux.decision.duty;

import io.wagtailmux.model.InstanceId;

/**
 * Process that may hold duties.
 *
 * @param instance the instance, which stays on its machine
 * @param incarnation distinguishes the processes of the instance
 * @author the wagtailmux developers
 */
public record DutyHolder(InstanceId instance, long incarnation) {

}
