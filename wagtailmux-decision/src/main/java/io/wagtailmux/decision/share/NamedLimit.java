package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The limit that one process of an endpoint names in its answers: the requests per second
 * that it accepts from all instances together. Not thread-safe.
 *
 * <p>
 * A limit is in force from the first answer that names it. An endpoint may name it in
 * some of its answers only, so that it is over only when an answer does not name it
 * although none has named it for some time.
 *
 * @author the wagtailmux developers
 */
public final class NamedLimit {

	/** Time without an answer that names the limit, after which one without ends it. */
	private static final Duration END_DELAY = Duration.ofSeconds(5);

	/**
	 * Used in place of a smaller limit: without any request, the end of the limit would
	 * never be learned.
	 */
	private static final double MINIMUM_REQUESTS_PER_SECOND = 0.1;

	private double requestsPerSecond;

	private Optional<Duration> namedAt = Optional.empty();

	private Optional<Duration> notNamedAt = Optional.empty();

	/**
	 * Records an answer, received by this instance or reported by another one.
	 * @param limit the limit that it names; empty if it names none
	 * @param at the elapsed time of the answer
	 * @return whether the limit in force has changed
	 */
	public boolean record(OptionalDouble limit, Duration at) {
		OptionalDouble before = current();
		if (limit.isEmpty()) {
			this.notNamedAt = Optional.of(this.notNamedAt.filter((last) -> last.compareTo(at) > 0).orElse(at));
		}
		else if (this.namedAt.filter((last) -> last.compareTo(at) > 0).isEmpty()) {
			this.namedAt = Optional.of(at);
			this.requestsPerSecond = Math.max(MINIMUM_REQUESTS_PER_SECOND, limit.getAsDouble());
		}
		return !current().equals(before);
	}

	/**
	 * Returns the limit in force.
	 * @return the requests per second; empty if there is no limit
	 */
	public OptionalDouble current() {
		boolean over = this.namedAt.isEmpty()
				|| this.notNamedAt.filter((last) -> last.minus(this.namedAt.get()).compareTo(END_DELAY) >= 0)
					.isPresent();
		return over ? OptionalDouble.empty() : OptionalDouble.of(this.requestsPerSecond);
	}

	/**
	 * Returns the limit that was named last, whether or not it is over.
	 * @return the requests per second; zero if none was named
	 */
	public double lastNamed() {
		return this.requestsPerSecond;
	}

	/**
	 * Returns when the limit was last named.
	 * @return the elapsed time of the last answer that named one; empty if none did
	 */
	public Optional<Duration> namedAt() {
		return this.namedAt;
	}

	/**
	 * Returns when an answer last named no limit.
	 * @return the elapsed time of the last such answer; empty if there was none
	 */
	public Optional<Duration> notNamedAt() {
		return this.notNamedAt;
	}

}
