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
 * Checks the guarantees of the system after a load: compares the answers that callers
 * received with the calls that the endpoints counted.
 *
 * @author the wagtailmux developers
 */
public final class Violations {

	private static final Pattern MARKER = Pattern.compile("marker-\\d+-\\d+-");

	private Violations() {
	}

	/**
	 * Counts the violations of each guarantee.
	 * @param report the answers that callers received
	 * @param endpoints the endpoints; all their counts are used, also those from before
	 * the load
	 * @return how often each guarantee was violated, by the violation's name; empty if
	 * none was
	 */
	public static Map<String, Long> of(LoadReport report, StandInEndpoints endpoints) {
		Map<String, Long> violations = new TreeMap<>();
		count(violations, "crossed answers", report.crossed());
		count(violations, "silent requests", report.unanswered());
		count(violations, "cold overloads", endpoints.sum(EndpointCounts::coldOverloads));
		count(violations, "doubled executions", doubledExecutions(endpoints));
		count(violations, "false not-run", falseNotRun(report, endpoints));
		return violations;
	}

	private static void count(Map<String, Long> violations, String name, long count) {
		if (count > 0) {
			violations.put(name, count);
		}
	}

	// Counts the requests that ran more than once at pools that are not idempotent. Each
	// call of a request has the request's marker in its input, which identifies it.
	private static long doubledExecutions(StandInEndpoints endpoints) {
		Map<String, Integer> runs = new HashMap<>();
		for (StandInEndpoint endpoint : nonIdempotent(endpoints)) {
			endpoint.counts().executions().forEach((input, ids) -> runs.merge(marker(input), ids.size(), Integer::sum));
		}
		return runs.values().stream().filter((count) -> count > 1).count();
	}

	// Counts the requests that were reported as not run although an endpoint ran a call.
	private static long falseNotRun(LoadReport report, StandInEndpoints endpoints) {
		Set<String> executedMarkers = new HashSet<>();
		endpoints.all()
			.values()
			.forEach((endpoint) -> endpoint.counts()
				.executions()
				.keySet()
				.forEach((input) -> executedMarkers.add(marker(input))));
		return report.results()
			.stream()
			.filter((result) -> "not-run".equals(result.answer().execution()))
			.map(LoadResult::marker)
			.filter(executedMarkers::contains)
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
