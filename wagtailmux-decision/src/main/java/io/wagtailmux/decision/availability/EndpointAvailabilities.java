package io.wagtailmux.decision.availability;

import java.util.LinkedHashMap;
import java.util.Map;

import io.wagtailmux.decision.poison.EndpointRun;

/**
 * The availability of the processes of a pool's endpoints, whether or not they are
 * registered: a registration that returns, from a restored store for example, does not
 * take back what a process said. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class EndpointAvailabilities {

	/**
	 * Several times the endpoints of a large pool; the least recently used is removed.
	 */
	private static final int MAXIMUM_PROCESSES = 4096;

	private final Map<EndpointRun, EndpointAvailability> byProcess = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<EndpointRun, EndpointAvailability> eldest) {
			return size() > MAXIMUM_PROCESSES;
		}

	};

	/**
	 * Returns the availability of a process.
	 * @param process the process
	 * @return what it said so far; the same object each time
	 */
	public EndpointAvailability of(EndpointRun process) {
		return this.byProcess.computeIfAbsent(process, (ignored) -> new EndpointAvailability());
	}

}
