package io.wagtailmux.store.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import io.wagtailmux.model.SystemConfiguration;

/**
 * Lists the differences between two configurations.
 *
 * @author the wagtailmux developers
 */
public final class ConfigurationDifference {

	private ConfigurationDifference() {
	}

	/**
	 * Compares two configurations.
	 * @param before the INI text of the old configuration
	 * @param after the INI text of the new configuration
	 * @return a line for each availability zone, pool, endpoint, pipeline or organisation
	 * that is added, removed or changed, and for changed links or slots; empty if the
	 * configurations are equal
	 * @throws io.wagtailmux.store.ini.IniException if a text is not a valid configuration
	 */
	public static List<String> of(String before, String after) {
		SystemConfiguration oldConfiguration = ConfigurationFormat.read(before);
		SystemConfiguration newConfiguration = ConfigurationFormat.read(after);
		List<String> lines = new ArrayList<>();
		compare("availability-zone", oldConfiguration.zones(), newConfiguration.zones(), lines);
		compare("pool", oldConfiguration.pools(), newConfiguration.pools(), lines);
		compare("endpoint", oldConfiguration.endpoints(), newConfiguration.endpoints(), lines);
		compare("pipeline", oldConfiguration.pipelines(), newConfiguration.pipelines(), lines);
		compare("organisation", oldConfiguration.organisations(), newConfiguration.organisations(), lines);
		if (!Set.copyOf(oldConfiguration.links()).equals(Set.copyOf(newConfiguration.links()))) {
			lines.add("changed links");
		}
		if (oldConfiguration.slots() != newConfiguration.slots()) {
			lines.add("changed system slots");
		}
		return lines;
	}

	private static <I extends Comparable<I>> void compare(String kind, Map<I, ?> before, Map<I, ?> after,
			List<String> lines) {
		Set<I> ids = new TreeSet<>(before.keySet());
		ids.addAll(after.keySet());
		for (I id : ids) {
			if (!before.containsKey(id)) {
				lines.add("added " + kind + " " + id);
			}
			else if (!after.containsKey(id)) {
				lines.add("removed " + kind + " " + id);
			}
			else if (!Objects.equals(before.get(id), after.get(id))) {
				lines.add("changed " + kind + " " + id + ": " + before.get(id) + " -> " + after.get(id));
			}
		}
	}

}
