package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.share.ColdShare;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Registered endpoint with this instance's connections and calls to it. Confined to the
 * traffic thread.
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
	 * Returns the endpoint's entry in the registry.
	 * @return the newest entry
	 */
	public RegisteredEndpoint entry() {
		return this.entry;
	}

	/**
	 * Returns the destination that pools the connections to the endpoint.
	 * @return the destination
	 */
	public HttpDestination destination() {
		return this.destination;
	}

	/**
	 * Returns the endpoint's load, including this instance's calls in progress.
	 * @return the load; updated by the calls
	 */
	public EndpointLoad load() {
		return this.load;
	}

	/**
	 * Returns whether the endpoint may get new requests.
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
	 * Replaces the entry. A changed entry also restarts the remaining cold time.
	 * @param next the entry of the same process at the same address
	 * @param mayBeUsed whether the endpoint may get new requests
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
