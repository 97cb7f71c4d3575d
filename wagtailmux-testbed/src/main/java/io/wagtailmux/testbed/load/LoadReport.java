package io.wagtailmux.testbed.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;

/**
 * The results of a load.
 *
 * @param results the results of all requests, in the order of their scheduled times
 * @author the wagtailmux developers
 */
public record LoadReport(List<LoadResult> results) {

	/**
	 * Returns the fraction of requests that were served by their deadlines.
	 * @return a number from zero to one; one if there were no requests
	 */
	public double attainment() {
		return attainment((result) -> true);
	}

	/**
	 * Returns the fraction of selected requests that were served by their deadlines.
	 * @param filter selects the requests
	 * @return a number from zero to one; one if none is selected
	 */
	public double attainment(Predicate<LoadResult> filter) {
		List<LoadResult> selected = this.results.stream().filter(filter).toList();
		long served = selected.stream().filter(LoadResult::served).count();
		return selected.isEmpty() ? 1 : (double) served / selected.size();
	}

	/**
	 * Returns the number of requests that were served by their deadlines.
	 * @return the number of requests
	 */
	public long served() {
		return this.results.stream().filter(LoadResult::served).count();
	}

	/**
	 * Returns the number of requests that got the output of another request.
	 * @return the number of requests
	 */
	public long crossed() {
		return this.results.stream().filter((result) -> result.answer().answered() && !result.own()).count();
	}

	/**
	 * Returns the number of requests that got no response, not even an error.
	 * @return the number of requests
	 */
	public long unanswered() {
		return this.results.stream().filter((result) -> result.answer().status() == 0).count();
	}

	/**
	 * Returns the number of requests by their outcome.
	 * @return the numbers of requests, by {@code ok} or by the status, the problem code
	 * and the execution state of the error
	 */
	public Map<String, Integer> endings() {
		Map<String, Integer> endings = new TreeMap<>();
		for (LoadResult result : this.results) {
			String ending = result.answer().answered() ? "ok"
					: result.answer().status() + " " + result.answer().code() + " " + result.answer().execution();
			endings.merge(ending, 1, Integer::sum);
		}
		return endings;
	}

	/**
	 * Returns a percentile of the latencies of successful requests.
	 * @param percentile the percentile, from 0 to 100
	 * @return the latency, to three significant digits; zero if no request succeeded
	 */
	public Duration percentile(double percentile) {
		Histogram histogram = new Histogram(3);
		this.results.stream()
			.filter((result) -> result.answer().answered())
			.forEach((result) -> histogram.recordValue(result.answer().elapsed().toNanos()));
		return Duration.ofNanos(histogram.getValueAtPercentile(percentile));
	}

}
