package io.wagtailmux.decision.admission;

import java.time.Duration;

/**
 * Expected wait of a new piece at a stage pool.
 *
 * @param time the expected time until its call starts
 * @param ahead the time that the pool needs for the pieces that are sent before it; zero
 * if it is not known which they are, because an instance of an earlier version reported
 * the wait
 * @author the wagtailmux developers
 */
public record ExpectedWait(Duration time, Duration ahead) {

	/** No wait. */
	public static final ExpectedWait NONE = of(Duration.ZERO);

	/**
	 * Returns a wait that only pieces cause that are sent before the new one.
	 * @param ahead the expected time until its call starts
	 * @return the wait
	 */
	public static ExpectedWait of(Duration ahead) {
		return new ExpectedWait(ahead, ahead);
	}

	/**
	 * Returns this wait some time later, if the pool works it off and no piece arrives.
	 * @param elapsed the time since
	 * @return the rest of the wait, not negative
	 */
	ExpectedWait after(Duration elapsed) {
		return new ExpectedWait(less(this.time, elapsed), less(this.ahead, elapsed));
	}

	private static Duration less(Duration wait, Duration elapsed) {
		Duration rest = wait.minus(elapsed);
		return rest.isNegative() ? Duration.ZERO : rest;
	}

}
