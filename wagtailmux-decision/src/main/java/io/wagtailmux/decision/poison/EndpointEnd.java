package io.wagtailmux.decision.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.model.VersionId;

/**
 * Unplanned end of an endpoint's process while it had requests.
 *
 * @param run the process
 * @param version the version of its software
 * @param at the elapsed time at which it was first seen to have ended
 * @param suspects the requests that were at the endpoint and may have crashed it, and the
 * shared parts of their prompts; copied
 * @param sentAt the elapsed times at which these requests were sent to it, for those
 * whose connections broke at the end; copied
 * @author the wagtailmux developers
 */
public record EndpointEnd(EndpointRun run, VersionId version, Duration at, Set<String> suspects,
		Map<String, Duration> sentAt) {

	/**
	 * Creates the end.
	 */
	public EndpointEnd {
		suspects = Set.copyOf(suspects);
		sentAt = Map.copyOf(sentAt);
	}

	/**
	 * Returns when a request was sent to the endpoint.
	 * @param request the id of the request
	 * @return the elapsed time; empty if the endpoint ended in silence, so that it may
	 * have ended before
	 */
	Optional<Duration> sentAt(String request) {
		return Optional.ofNullable(this.sentAt.get(request));
	}

	/**
	 * Joins what two instances saw of the same end.
	 * @param other the other report on the same process
	 * @return the earlier time and the suspects of both
	 */
	EndpointEnd join(EndpointEnd other) {
		Set<String> joined = new HashSet<>(this.suspects);
		joined.addAll(other.suspects);
		Map<String, Duration> sent = new HashMap<>(this.sentAt);
		other.sentAt
			.forEach((request, at) -> sent.merge(request, at, (one, two) -> (one.compareTo(two) > 0) ? one : two));
		return new EndpointEnd(this.run, this.version, (other.at.compareTo(this.at) < 0) ? other.at : this.at, joined,
				sent);
	}

}
