package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * What the owner of a shard tells the instance that sent it pieces.
 *
 * @param behindAll the time until a call with a new piece would start if it were sent
 * after all that wait
 * @param behindEarlier the time until a call with a new piece like the ones that were
 * sent would start; empty if the owner is of an earlier version
 * @author the wagtailmux developers
 */
public record WaitReport(Duration behindAll, Optional<Duration> behindEarlier) {

	/** No wait. */
	public static final WaitReport NONE = new WaitReport(Duration.ZERO, Optional.of(Duration.ZERO));

	/**
	 * Returns the wait that such pieces have to expect.
	 * @return the wait
	 */
	public ExpectedWait expected() {
		return this.behindEarlier.map(ExpectedWait::of)
			.orElseGet(() -> new ExpectedWait(this.behindAll, Duration.ZERO));
	}

}
