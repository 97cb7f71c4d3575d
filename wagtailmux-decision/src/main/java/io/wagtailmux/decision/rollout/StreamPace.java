package io.wagtailmux.decision.rollout;

import java.time.Duration;

/**
 * How fast the events of a stream followed its first one.
 *
 * @param elapsed the time since the first event
 * @param events the number of events since the first one, which is not counted
 * @author the wagtailmux developers
 */
public record StreamPace(Duration elapsed, int events) {

	/**
	 * Returns this pace as it is at least, while another event is awaited.
	 * @return the pace if the event arrived now
	 */
	StreamPace withAwaitedEvent() {
		return new StreamPace(this.elapsed, this.events + 1);
	}

	double nanosPerEvent() {
		return (double) this.elapsed.toNanos() / this.events;
	}

}
