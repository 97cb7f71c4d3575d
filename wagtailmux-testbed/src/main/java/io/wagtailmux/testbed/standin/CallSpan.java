package io.wagtailmux.testbed.standin;

import java.time.Duration;

/**
 * The time during which a stand-in of an endpoint processes a call. It ends before the
 * last bytes of the response are sent, because the caller may consider the call ended
 * once it has received them. Used by one thread, the one that handles the call.
 *
 * @author the wagtailmux developers
 */
final class CallSpan {

	private final long startNanos = System.nanoTime();

	private final EndpointCounts counts;

	private final int incarnation;

	private final int inFlight;

	private boolean ended;

	CallSpan(EndpointCounts counts, int incarnation, int inFlight) {
		this.counts = counts;
		this.incarnation = incarnation;
		this.inFlight = inFlight;
	}

	/**
	 * Returns the number of calls in flight when this one started.
	 * @return the number of calls, this one included
	 */
	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Ends the call; has no effect if it has ended already.
	 * @param answered whether a complete response is sent
	 */
	void end(boolean answered) {
		if (!this.ended) {
			this.ended = true;
			this.counts.onCallEnded(this.incarnation, answered, Duration.ofNanos(System.nanoTime() - this.startNanos));
		}
	}

}
