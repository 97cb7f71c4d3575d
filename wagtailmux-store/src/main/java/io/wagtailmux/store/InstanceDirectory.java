package io.wagtailmux.store;

import java.util.List;

/**
 * The platform's list of running and stopping instances. The list is eventually
 * consistent: it may lack an instance that has just started and contain one that has
 * stopped.
 *
 * @author the wagtailmux developers
 */
public interface InstanceDirectory {

	/**
	 * Reads the list.
	 * @return the listed instances
	 * @throws PlatformException if the list cannot be read
	 */
	List<ListedInstance> list();

}
