package io.wagtailmux.engine.duty;

import java.util.List;
import java.util.Set;

import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.model.InstanceId;

/**
 * The other instances, as far as duties depend on them. Used on the control thread.
 *
 * @author the wagtailmux developers
 */
public interface DutyPeers {

	/**
	 * Returns the other instances that answer and are not stopping.
	 * @return the instances
	 */
	List<InstancePeer> alive();

	/**
	 * Returns the other instances that may be alive, whether they answer or not.
	 * @return their ids
	 */
	Set<InstanceId> possiblyAlive();

}
