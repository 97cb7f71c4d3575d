package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.share.ColdShare;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * An endpoint with this instance's connections and calls to it.
 *
 * @author the wagtailmux developers
 */
public final class LiveEndpoint {

	private final HttpDestination destination;

	private final EndpointLoad load;

	private final ColdShare coldShare;

	private RegisteredEndpoint entry;

	private Duration coldUntil = Duration.ZERO;

	private boolean usable;

	LiveEndpoint(RegisteredEndpoint entry, EndpointLoad load, ColdShare coldShare) {
		this.coldShare = coldShare;
		this.entry = entry;
		this.load = load;
		this.destination = new HttpDestination(entry.address());
	}

	/**
	 * Returns the registry's entry.
	 * @return the newest entry
	 */
	public RegisteredEndpoint entry() {
		return this.entry;
	}

	/**
	 * Returns its connections.
	 * @return the destination
	 */
	public HttpDestination destination() {
		return this.destination;
	}

	/**
	 * Returns what is known of its load.
	 * @return the load
	 */
	public EndpointLoad load() {
		return this.load;
	}

	/**
	 * Tells whether it may get new work.
	 * @return whether the newest view allows it
	 */
	public boolean usable() {
		return this.usable;
	}

	ColdShare coldShare() {
		return this.coldShare;
	}

	boolean cold(Duration now) {
		return now.compareTo(this.coldUntil) < 0;
	}

	/**
	 * Takes the newest entry.
	 * @param next the entry of the same process at the same address
	 * @param mayBeUsed whether it may get new work
	 * @param now the elapsed time
	 */
	void update(RegisteredEndpoint next, boolean mayBeUsed, Duration now) {
		if (next != this.entry || this.coldUntil.isZero()) {
			this.coldUntil = now.plus(next.remainingColdTime());
		}
		this.entry = next;
		this.usable = mayBeUsed;
	}

	boolean sameProcess(RegisteredEndpoint next) {
		return next.startedAtMillis() == this.entry.startedAtMillis() && next.address().equals(this.entry.address())
				&& next.pool().equals(this.entry.pool());
	}

	void retire() {
		this.usable = false;
		this.destination.close();
	}

}
