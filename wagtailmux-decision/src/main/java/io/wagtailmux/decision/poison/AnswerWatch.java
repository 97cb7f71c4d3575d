package io.wagtailmux.decision.poison;

import java.time.Duration;

/**
 * For how long a pool's answers have been observed, by this instance or another one. That
 * a request was never answered tells something only if the observation was long enough
 * for an answer.
 *
 * @param since the elapsed time of the first observed answer
 * @param answerTime the median time that answers take, which the first, slow ones do not
 * change
 * @author the wagtailmux developers
 */
public record AnswerWatch(Duration since, Duration answerTime) {

	/** Before the first end, sufficient however long answers take. */
	private static final Duration SUFFICIENT_TIME = Duration.ofSeconds(2);

	/** Multiple of the median within which nearly all requests are answered. */
	private static final int ANSWER_TIME_FACTOR = 4;

	/**
	 * Returns whether a request that caused no end would have been answered.
	 * @param firstEnd the elapsed time of the first end with the request
	 * @param lastEnd the elapsed time of the last one
	 * @return whether answers were observed for long enough
	 */
	boolean covers(Duration firstEnd, Duration lastEnd) {
		return this.since.compareTo(firstEnd.minus(SUFFICIENT_TIME)) <= 0
				|| this.since.compareTo(lastEnd.minus(this.answerTime.multipliedBy(ANSWER_TIME_FACTOR))) <= 0;
	}

	/**
	 * Joins the observations of two instances.
	 * @param other what the other instance has observed
	 * @return the longer observation, with the longer time for an answer
	 */
	AnswerWatch join(AnswerWatch other) {
		return new AnswerWatch((other.since.compareTo(this.since) < 0) ? other.since : this.since,
				(other.answerTime.compareTo(this.answerTime) > 0) ? other.answerTime : this.answerTime);
	}

}
