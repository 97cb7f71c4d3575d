package io.wagtailmux.testbed.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.wagtailmux.testbed.deployment.StandInEndpoints;
import io.wagtailmux.testbed.load.LoadReport;
import io.wagtailmux.testbed.load.LoadResult;
import io.wagtailmux.testbed.standin.EndpointCounts;
import io.wagtailmux.testbed.standin.StandInEndpoint;

/**
 * Checks a load against the promises, with the counts of the endpoints as witness.
 *
 * @author the wagtailmux developers
 */
public final class Violations {

	private static final Pattern MARKER = Pattern.compile("marker-\\d+-\\d+-");

	private Violations() {
	}

	/**
	 * Checks a load.
	 * @param report what callers got
	 * @param endpoints what endpoints counted
	 * @return how often a promise was broken, by its name; empty if none was
	 */
	public static Map<String, Long> of(LoadReport report, StandInEndpoints endpoints) {
		Map<String, Long> violations = new TreeMap<>();
		count(violations, "crossed answers", report.crossed());
		count(violations, "silent requests", report.unanswered());
		count(violations, "cold overloads", endpoints.sum(EndpointCounts::coldOverloads));
		count(violations, "doubled executions", doubled(endpoints));
		count(violations, "false not-run", falseNotRun(report, endpoints));
		return violations;
	}

	private static void count(Map<String, Long> violations, String name, long count) {
		if (count > 0) {
			violations.put(name, count);
		}
	}

	// The marker of a request is part of the input of each of its calls.
	private static long doubled(StandInEndpoints endpoints) {
		Map<String, Integer> runs = new HashMap<>();
		for (StandInEndpoint endpoint : nonIdempotent(endpoints)) {
			endpoint.counts().executions().forEach((input, ids) -> runs.merge(marker(input), ids.size(), Integer::sum));
		}
		return runs.values().stream().filter((count) -> count > 1).count();
	}

	private static long falseNotRun(LoadReport report, StandInEndpoints endpoints) {
		Set<String> ran = new HashSet<>();
		endpoints.all()
			.values()
			.forEach((endpoint) -> endpoint.counts().executions().keySet().forEach((input) -> ran.add(marker(input))));
		return report.results()
			.stream()
			.filter((result) -> "not-run".equals(result.answer().execution()))
			.map(LoadResult::marker)
			.filter(ran::contains)
			.count();
	}

	private static List<StandInEndpoint> nonIdempotent(StandInEndpoints endpoints) {
		return endpoints.configuration()
			.pools()
			.values()
			.stream()
			.filter((pool) -> !pool.idempotent())
			.flatMap((pool) -> endpoints.pool(pool.id().value()).stream())
			.toList();
	}

	private static String marker(String input) {
		Matcher matcher = MARKER.matcher(input);
		return matcher.find() ? matcher.group() : input;
	}

}
