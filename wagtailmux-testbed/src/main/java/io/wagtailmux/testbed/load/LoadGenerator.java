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
 * An open-loop load generator. Requests are sent at their scheduled times whether or not
 * earlier ones have been answered, and latencies are measured from the scheduled time, so
 * that delays of the generator itself are included (no coordinated omission). The bearer
 * token of an organisation is {@code token-} and its id.
 *
 * @author the wagtailmux developers
 */
public final class LoadGenerator {

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(40);

	private final CallerClient client = new CallerClient();

	private final Supplier<List<URI>> addresses;

	/**
	 * Creates a generator.
	 * @param addresses returns the base addresses among which requests are currently
	 * distributed in rotation, at least one; called once for each request, on the thread
	 * of {@link #run}
	 */
	public LoadGenerator(Supplier<List<URI>> addresses) {
		this.addresses = addresses;
	}

	/**
	 * Sends a load and waits for all responses.
	 * @param plan the load to send
	 * @return the results of all requests; a request without a response within 30 s has
	 * the status zero
	 * @throws StandInException if the thread is interrupted
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
				List<URI> known = this.addresses.get();
				URI address = known.get(number % known.size());
				results.add(CompletableFuture.supplyAsync(() -> send(address, arrival, marker, start), threads));
			}
			return new LoadReport(results.stream()
				.map((result) -> result.orTimeout(RESPONSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join())
				.toList());
		}
		finally {
			threads.shutdownNow();
		}
	}

	private LoadResult send(URI address, Arrival arrival, String marker, long start) {
		LoadSource source = arrival.source;
		ClientRequest request = ClientRequest.of(source.pipeline(), "token-" + source.organisation(), marker)
			.withTimeout(source.timeout());
		CallerAnswer answer = this.client.send(address, source.keyed() ? request.withKey(marker) : request);
		Duration elapsed = Duration.ofNanos(System.nanoTime() - start).minus(arrival.due);
		return new LoadResult(source, marker,
				new CallerAnswer(answer.status(), answer.body(), answer.tokens(), elapsed));
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
		long remaining = nanoTime - System.nanoTime();
		if (remaining <= 0) {
			return;
		}
		try {
			TimeUnit.NANOSECONDS.sleep(remaining);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new StandInException("interrupted while sending a load", ex);
		}
	}

	private record Arrival(LoadSource source, Duration due) {

	}

}
