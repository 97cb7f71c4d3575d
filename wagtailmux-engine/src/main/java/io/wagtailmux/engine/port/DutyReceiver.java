package io.wagtailmux.engine.port;

import java.util.concurrent.CompletableFuture;

import io.wagtailmux.decision.capacity.CapacityOrder;
import io.wagtailmux.decision.duty.UsageReport;

/**
 * Receiver of the calls that only the holder of the duties makes. Its methods may be
 * called on any thread and return at once; the futures complete on the traffic thread and
 * fail with {@link DutyException}.
 *
 * @author the wagtailmux developers
 */
public interface DutyReceiver {

	/**
	 * Reports the usage of a window. A repetition with the same counts changes nothing.
	 * @param call who calls
	 * @param report the report
	 * @return completes when the report is accepted
	 */
	CompletableFuture<Void> reportUsage(DutyCall call, UsageReport report);

	/**
	 * Orders the number of endpoints of a pool in an availability zone.
	 * @param call who calls
	 * @param order the order
	 * @return completes when the order is accepted
	 */
	CompletableFuture<Void> orderCapacity(DutyCall call, CapacityOrder order);

}
