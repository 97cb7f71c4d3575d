package io.wagtailmux.engine.duty;

import java.util.List;
import java.util.Set;

import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.model.InstanceId;

/**
 * What duties depend on: the other instances, the configuration and the endpoints. Used
 * on the control thread.
 *
 * @author the wagtailmux developers
 */
public interface DutySurroundings {

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

	/**
	 * Returns the configuration, the endpoints and the evacuated zones.
	 * @return the view that was published last
	 */
	ServingView view();

}
