package io.wagtailmux.engine.duty;

import java.util.Set;

import io.wagtailmux.decision.duty.Duty;
import io.wagtailmux.decision.duty.LeaseTiming;
import io.wagtailmux.decision.duty.UsageTiming;

/**
 * Which duties the instances perform, and their times.
 *
 * @param duties the duties, at least one
 * @param lease the times of the lease
 * @param usage the windows of usage reports
 * @author the wagtailmux developers
 */
public record DutySettings(Set<Duty> duties, LeaseTiming lease, UsageTiming usage) {

	/**
	 * Creates the settings.
	 */
	public DutySettings {
		duties = Set.copyOf(duties);
	}

}
