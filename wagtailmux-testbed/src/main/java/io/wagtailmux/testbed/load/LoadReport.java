package io.wagtailmux.testbed.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;

/**
 * What became of a load.
 *
 * @param results all requests
 * @author the wagtailmux developers
 */
public record LoadReport(List<LoadResult> results) {

	/**
	 * Returns the share of requests that were served by their deadlines.
	 * @return a number from zero to one
	 */
	public double attainment() {
		return attainment((result) -> true);
	}

	/**
	 * Returns the share of some requests that were served by their deadlines.
	 * @param which which requests
	 * @return a number from zero to one
	 */
	public double attainment(Predicate<LoadResult> which) {
		List<LoadResult> chosen = this.results.stream().filter(which).toList();
		long served = chosen.stream().filter(LoadResult::served).count();
		return chosen.isEmpty() ? 1 : (double) served / chosen.size();
	}

	/**
	 * Returns how many requests were served by their deadlines.
	 * @return the number of requests
	 */
	public long served() {
		return this.results.stream().filter(LoadResult::served).count();
	}

	/**
	 * Returns how many answers were to another request.
	 * @return the number of answers
	 */
	public long crossed() {
		return this.results.stream().filter((result) -> result.answer().answered() && !result.own()).count();
	}

	/**
	 * Returns how many requests got no answer of any kind.
	 * @return the number of requests
	 */
	public long unanswered() {
		return this.results.stream().filter((result) -> result.answer().status() == 0).count();
	}

	/**
	 * Returns how many requests ended how.
	 * @return the number of requests by {@code ok} or the error's code and execution word
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
	 * Returns how long answered requests took.
	 * @param percentile the percentile, from 0 to 100
	 * @return the time
	 */
	public Duration percentile(double percentile) {
		Histogram histogram = new Histogram(3);
		this.results.stream()
			.filter((result) -> result.answer().answered())
			.forEach((result) -> histogram.recordValue(result.answer().elapsed().toNanos()));
		return Duration.ofNanos(histogram.getValueAtPercentile(percentile));
	}

}
