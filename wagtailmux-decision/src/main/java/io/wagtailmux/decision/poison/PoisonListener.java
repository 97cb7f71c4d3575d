package io.wagtailmux.decision.poison;

import java.util.List;
import java.util.Set;

/**
 * Is told what a {@link PoisonDetector} decides.
 *
 * @author the wagtailmux developers
 */
public interface PoisonListener {

	/**
	 * Parts are suspected: requests with them are held off until they prove sound or are
	 * refused.
	 * @param parts the ids of the parts
	 * @param ends the ends that told it
	 */
	void onSuspected(Set<String> parts, List<EndpointEnd> ends);

	/**
	 * Suspected parts were answered whole by another endpoint.
	 * @param parts the ids of the parts
	 */
	void onSuspicionEnded(Set<String> parts);

	/**
	 * A refusal was made or changed its state.
	 * @param refusal the new state
	 * @param own whether this instance decided it; false if it learned it from another
	 */
	void onRefusalChanged(Refusal refusal, boolean own);

}
