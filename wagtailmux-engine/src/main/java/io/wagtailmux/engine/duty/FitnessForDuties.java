package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.model.InstanceId;

/**
 * Which instances should not hold duties, since their calls to the store fail. Such an
 * instance may answer all others, so that it would stay the first in rank and nobody
 * would perform the duties. Confined to the control thread.
 *
 * @author the wagtailmux developers
 */
final class FitnessForDuties {

	private static final int FAILURES_IF_UNFIT = 2;

	/** An instance that said it is unfit is asked again after this time. */
	private static final Duration STATEMENT_LIFETIME = Duration.ofSeconds(8);

	private final Map<InstanceId, Duration> unfitUntil = new HashMap<>();

	private int ownFailures;

	void onStoreAnswer() {
		this.ownFailures = 0;
	}

	void onStoreFailure() {
		this.ownFailures++;
	}

	/**
	 * Returns whether this instance's calls to the store fail.
	 * @return whether it should not hold duties
	 */
	boolean isUnfit() {
		return this.ownFailures >= FAILURES_IF_UNFIT;
	}

	/**
	 * Accepts what another instance says of itself.
	 * @param instance the instance
	 * @param unfit whether it should not hold duties
	 * @param now the elapsed time
	 */
	void onStatement(InstanceId instance, boolean unfit, Duration now) {
		if (unfit) {
			this.unfitUntil.put(instance, now.plus(STATEMENT_LIFETIME));
			return;
		}
		this.unfitUntil.remove(instance);
	}

	/**
	 * Returns the instances that may hold duties.
	 * @param peers the instances that answer
	 * @param now the elapsed time
	 * @return those that did not say otherwise
	 */
	List<InstancePeer> fit(List<InstancePeer> peers, Duration now) {
		this.unfitUntil.values().removeIf((until) -> until.compareTo(now) <= 0);
		return peers.stream().filter((peer) -> !this.unfitUntil.containsKey(peer.id())).toList();
	}

}
