package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.availability.EndpointAvailability;
import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.share.BrittleShare;
import io.wagtailmux.decision.share.ColdShare;
import io.wagtailmux.decision.share.NamedLimit;
import io.wagtailmux.decision.share.RateShare;
import io.wagtailmux.engine.http.EndpointTarget;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.port.StatedLimit;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Registered endpoint with this instance's connections and calls to it. Confined to the
 * traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class LiveEndpoint {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private final HttpDestination destination;

	private final EndpointLoad load;

	private final ColdShare coldShare;

	private final NamedLimit limit = new NamedLimit();

	private final NamedLimit limitSeenHere = new NamedLimit();

	private final RateShare limitShare;

	private final BrittleShare brittleShare;

	private final EndpointAvailability availability;

	private RegisteredEndpoint entry;

	private Duration coldUntil = Duration.ZERO;

	private boolean usable;

	LiveEndpoint(RegisteredEndpoint entry, EndpointLoad load, ColdShare coldShare, RateShare limitShare,
			BrittleShare brittleShare, EndpointAvailability availability) {
		this.brittleShare = brittleShare;
		this.availability = availability;
		this.limitShare = limitShare;
		this.coldShare = coldShare;
		this.entry = entry;
		this.load = load;
		this.destination = new HttpDestination(entry.address(),
				new EndpointTarget(entry.pool(), entry.id(), entry.startedAtMillis(), entry.zone()));
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
	 * @param now the elapsed time
	 * @return whether the newest view and the endpoint's own answers allow it
	 */
	public boolean usable(Duration now) {
		return this.usable && this.availability.available(now);
	}

	/**
	 * Returns whether the registry and the operator allow new requests, whatever the
	 * endpoint said in its answers.
	 * @return whether the newest view allows it
	 */
	boolean usableByView() {
		return this.usable;
	}

	/**
	 * Returns what the endpoint's process said about getting new requests.
	 * @return the availability, which the answers update
	 */
	public EndpointAvailability availability() {
		return this.availability;
	}

	BrittleShare brittleShare() {
		return this.brittleShare;
	}

	/**
	 * Records whether an answer says that the endpoint is brittle.
	 * @param stated whether it does
	 * @param now the elapsed time
	 */
	void recordBrittle(boolean stated, Duration now) {
		if (this.brittleShare.record(stated, now)) {
			LOG.atInfo()
				.addKeyValue("endpoint", this.entry.id())
				.addKeyValue("brittle", stated)
				.log("brittleness of endpoint changed");
		}
	}

	ColdShare coldShare() {
		return this.coldShare;
	}

	/**
	 * Records what an answer of the endpoint says about its limit.
	 * @param stated the limit that the answer names, or that it names none
	 * @param now the elapsed time
	 */
	public void recordStatedLimit(StatedLimit stated, Duration now) {
		if (stated.unreadable().isPresent()) {
			LOG.atWarn()
				.addKeyValue("endpoint", this.entry.id())
				.addKeyValue("limit", stated.unreadable().get())
				.log("limit of endpoint ignored");
			return;
		}
		if (stated.requestsPerSecond().isEmpty() && this.limit.namedAt().isEmpty()) {
			return;
		}
		this.limitSeenHere.record(stated.requestsPerSecond(), now);
		recordLimit(stated.requestsPerSecond(), now, "an answer");
	}

	/**
	 * Records what another instance saw in the answers of the endpoint.
	 * @param seen the limit as that instance knows it from answers
	 */
	public void recordReportedLimit(LimitSighting seen) {
		recordLimit(OptionalDouble.of(seen.requestsPerSecond()), seen.namedAt(), "another instance");
		seen.notNamedAt().ifPresent((at) -> recordLimit(OptionalDouble.empty(), at, "another instance"));
	}

	/**
	 * Returns what the answers of the endpoint to this instance said about its limit.
	 * @return what to report to other instances; empty if no answer named a limit
	 */
	Optional<LimitSighting> limitSighting() {
		return this.limitSeenHere.namedAt()
			.map((at) -> new LimitSighting(this.entry.id(), this.entry.startedAtMillis(),
					this.limitSeenHere.lastNamed(), at, this.limitSeenHere.notNamedAt()));
	}

	/**
	 * Returns the limit in force.
	 * @return the requests per second from all instances together; empty if there is none
	 */
	OptionalDouble limit() {
		return this.limit.current();
	}

	RateShare limitShare() {
		return this.limitShare;
	}

	private void recordLimit(OptionalDouble requestsPerSecond, Duration at, String source) {
		if (this.limit.record(requestsPerSecond, at)) {
			LOG.atInfo()
				.addKeyValue("endpoint", this.entry.id())
				.addKeyValue("perSecond",
						this.limit.current().isPresent() ? this.limit.current().getAsDouble() : "none")
				.addKeyValue("source", source)
				.log("limit of endpoint changed");
		}
	}

	boolean cold(Duration now) {
		return now.compareTo(this.coldUntil) < 0 || this.availability.returning(now);
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
