package io.wagtailmux.testbed.load;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.standin.StandInException;

/**
 * Sends a load. Arrivals do not wait for answers, and times count from when a request was
 * due, so that a slow system cannot hide behind a slow generator.
 *
 * @author the wagtailmux developers
 */
public final class LoadGenerator {

	private static final Duration LONGEST_ANSWER = Duration.ofSeconds(40);

	private final CallerClient client = new CallerClient();

	private final Supplier<List<URI>> entries;

	/**
	 * Creates a generator.
	 * @param entries returns the base addresses that the balancer knows now
	 */
	public LoadGenerator(Supplier<List<URI>> entries) {
		this.entries = entries;
	}

	/**
	 * Sends a load and waits for all answers.
	 * @param plan what to send
	 * @return what became of it
	 */
	public LoadReport run(LoadPlan plan) {
		ExecutorService threads = Executors.newCachedThreadPool();
		try {
			List<Arrival> arrivals = arrivals(plan);
			List<CompletableFuture<LoadResult>> results = new ArrayList<>();
			long start = System.nanoTime();
			for (int number = 0; number < arrivals.size(); number++) {
				Arrival arrival = arrivals.get(number);
				sleepUntil(start + arrival.due.toNanos());
				String marker = "marker-" + plan.seed() + "-" + number + "-";
				List<URI> known = this.entries.get();
				URI entry = known.get(number % known.size());
				results.add(CompletableFuture.supplyAsync(() -> send(entry, arrival, marker, start), threads));
			}
			return new LoadReport(results.stream()
				.map((result) -> result.orTimeout(LONGEST_ANSWER.toSeconds(), TimeUnit.SECONDS).join())
				.toList());
		}
		finally {
			threads.shutdownNow();
		}
	}

	private LoadResult send(URI entry, Arrival arrival, String marker, long start) {
		LoadSource source = arrival.source;
		ClientRequest question = ClientRequest.of(source.pipeline(), "token-" + source.organisation(), marker)
			.withTimeout(source.timeout());
		CallerAnswer answer = this.client.send(entry, source.keyed() ? question.withKey(marker) : question);
		Duration took = Duration.ofNanos(System.nanoTime() - start).minus(arrival.due);
		return new LoadResult(source, marker, new CallerAnswer(answer.status(), answer.body(), answer.tokens(), took));
	}

	private static List<Arrival> arrivals(LoadPlan plan) {
		SplittableRandom random = new SplittableRandom(plan.seed());
		List<Arrival> arrivals = new ArrayList<>();
		for (LoadSource source : plan.sources()) {
			double seconds = 0;
			while (seconds < plan.duration().toNanos() / 1e9) {
				Duration time = Duration.ofNanos((long) (seconds * 1e9));
				if (seconds > 0) {
					arrivals.add(new Arrival(source, time));
				}
				seconds += -Math.log(1 - random.nextDouble()) / source.rateAt(time);
			}
		}
		arrivals.sort(Comparator.comparing(Arrival::due));
		return arrivals;
	}

	private static void sleepUntil(long nanoTime) {
		long left = nanoTime - System.nanoTime();
		if (left <= 0) {
			return;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(left);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new StandInException("interrupted", ex);
		}
	}

	private record Arrival(LoadSource source, Duration due) {

	}

}
