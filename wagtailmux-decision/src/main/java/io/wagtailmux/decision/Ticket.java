package io.wagtailmux.decision;

import java.time.Duration;
import java.util.Set;

import io.wagtailmux.model.CallId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.Selector;

/**
 * Request for one call to an endpoint of a pool, made for one attempt of a stage.
 *
 * @param call the id of the attempt
 * @param organisation the organisation that sent the request
 * @param selector selects the endpoints that may receive the call
 * @param avoided endpoints at which earlier attempts failed; used only if no other
 * endpoint is eligible
 * @param deadline when the request's answer is due, as elapsed time of the instance's
 * clock
 * @param timeAfterStage the expected duration of all stages after this one
 * @author the wagtailmux developers
 */
public record Ticket(CallId call, Organisation organisation, Selector selector, Set<EndpointId> avoided,
		Duration deadline, Duration timeAfterStage) {

	/**
	 * Copies the set of avoided endpoints.
	 */
	public Ticket {
		avoided = Set.copyOf(avoided);
	}

	/**
	 * Returns when the stage must have ended so that the stages after it can meet the
	 * deadline.
	 * @return the latest useful end of the call, as elapsed time of the instance's clock
	 */
	public Duration latestEnd() {
		return this.deadline.minus(this.timeAfterStage);
	}

}
