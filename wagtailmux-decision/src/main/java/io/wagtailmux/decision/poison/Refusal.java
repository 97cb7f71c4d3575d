package io.wagtailmux.decision.poison;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.wagtailmux.model.VersionId;

/**
 * Refusal of all requests that contain certain prompt parts. There is more than one part
 * only if they always occurred together, so that it is unknown which of them crashes
 * endpoints.
 *
 * @param parts the ids of the parts; copied
 * @param state whether requests are refused
 * @param revision increases with each change of the state; instances adopt the highest
 * @param relapses how many times a part crashed an endpoint after a refusal was over
 * @param since the elapsed time of the last change of the state
 * @param versions the versions of the endpoints that ended; copied
 * @param toldBy the processes whose ends led to the refusal; copied
 * @author the wagtailmux developers
 */
public record Refusal(Set<String> parts, RefusalState state, int revision, int relapses, Duration since,
		Set<VersionId> versions, List<String> toldBy) {

	/** Time after which a request with the parts is tried again. */
	private static final Duration FIRST_LIFETIME = Duration.ofHours(1);

	/**
	 * After this number of relapses only the operator can lift the refusal, so that
	 * trials do not cost further endpoints.
	 */
	private static final int MAXIMUM_RELAPSES = 2;

	/**
	 * Creates the refusal.
	 */
	public Refusal {
		parts = Set.copyOf(parts);
		versions = Set.copyOf(versions);
		toldBy = List.copyOf(toldBy);
	}

	/**
	 * Returns whether all requests with the parts are refused now. After the lifetime,
	 * which doubles with each relapse, or once no endpoint has a version that is known to
	 * crash, the parts may be tried again.
	 * @param usedVersions the versions of the pool's endpoints; empty if it has none
	 * @param now the elapsed time
	 * @return whether no request is to be tried
	 */
	boolean binding(Set<VersionId> usedVersions, Duration now) {
		if (this.relapses >= MAXIMUM_RELAPSES) {
			return true;
		}
		boolean otherVersions = !usedVersions.isEmpty() && usedVersions.stream().noneMatch(this.versions::contains);
		boolean over = now.minus(this.since).compareTo(FIRST_LIFETIME.multipliedBy(1L << this.relapses)) >= 0;
		return !otherVersions && !over;
	}

	Refusal withState(RefusalState next, Duration now) {
		return new Refusal(this.parts, next, this.revision + 1, this.relapses, now, this.versions, this.toldBy);
	}

	Refusal afterRelapse(EndpointEnd end, Duration now) {
		Set<VersionId> joined = new HashSet<>(this.versions);
		joined.add(end.version());
		return new Refusal(this.parts, RefusalState.REFUSED, this.revision + 1, this.relapses + 1, now, joined,
				List.of(end.run().toString()));
	}

}
