package io.wagtailmux.engine;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.wagtailmux.decision.admission.Admission;
import io.wagtailmux.decision.duty.UsageCounter;
import io.wagtailmux.decision.placement.EnginePlacement;
import io.wagtailmux.decision.placement.PlainPlacement;
import io.wagtailmux.engine.forward.CrashWatch;
import io.wagtailmux.engine.forward.ResponseMemory;
import io.wagtailmux.engine.http.EndpointLinks;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.port.CallerProtocol;
import io.wagtailmux.engine.port.EndpointProtocol;
import io.wagtailmux.engine.stage.PieceService;
import io.wagtailmux.engine.state.EndpointStatements;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.TimeSource;

/**
 * Collaborators that the parts of the engine share. Not thread-safe: all methods are to
 * be called on the traffic thread, except during startup.
 *
 * @author the wagtailmux developers
 */
public final class EngineContext {

	private final HttpClient client;

	private final TimeSource time;

	private final ServingState state;

	private final CallerProtocol callers;

	private final EndpointProtocol endpoints;

	private final RandomGenerator random;

	private final DecisionLog log = new DecisionLog();

	private final EngineMetrics metrics;

	private final Admission admission;

	private final PlainPlacement plainPlacement;

	private final EnginePlacement enginePlacement = new EnginePlacement();

	private final ResponseMemory responseMemory = ResponseMemory.ofProcess();

	private final CrashWatch crashWatch;

	private final EndpointStatements statements;

	private PieceService pieces;

	private EndpointLinks links = EndpointLinks.SOUND;

	private Optional<UsageCounter> usage = Optional.empty();

	/**
	 * Creates the context.
	 * @param client sends requests to endpoints and peers
	 * @param time the clock
	 * @param state the serving state of the traffic thread
	 * @param callers reads the headers of callers' requests
	 * @param endpoints encodes and decodes messages to and from endpoints
	 * @param zone the availability zone of this instance
	 * @param random the source of random numbers
	 * @param metrics the counters and histograms to update
	 */
	public EngineContext(HttpClient client, TimeSource time, ServingState state, CallerProtocol callers,
			EndpointProtocol endpoints, AvailabilityZoneId zone, RandomGenerator random, EngineMetrics metrics) {
		this.client = client;
		this.time = time;
		this.state = state;
		this.callers = callers;
		this.endpoints = endpoints;
		this.random = random;
		this.metrics = metrics;
		this.admission = new Admission(random);
		this.plainPlacement = new PlainPlacement(zone, random);
		this.crashWatch = new CrashWatch(client, time);
		this.statements = new EndpointStatements(metrics, state.statedSpeeds());
	}

	/**
	 * Sets the service that executes pieces. Must be called once, before traffic starts.
	 * @param service the service
	 */
	public void pieces(PieceService service) {
		this.pieces = service;
	}

	/**
	 * Returns the service that executes pieces.
	 * @return the service; null before it is set
	 */
	public PieceService pieces() {
		return this.pieces;
	}

	/**
	 * Sets the links to the endpoints. Must be called once, before traffic starts.
	 * @param endpointLinks the links
	 */
	public void links(EndpointLinks endpointLinks) {
		this.links = endpointLinks;
		this.client.links(endpointLinks);
	}

	/**
	 * Returns the links to the endpoints.
	 * @return the links; sound ones unless set
	 */
	public EndpointLinks links() {
		return this.links;
	}

	/**
	 * Sets the counter of requests that endpoints began to run. May be called once,
	 * before traffic starts.
	 * @param counter the counter
	 */
	public void usage(UsageCounter counter) {
		this.usage = Optional.of(counter);
	}

	/**
	 * Returns the counter of requests that endpoints began to run.
	 * @return the counter; empty if usage is not reported
	 */
	public Optional<UsageCounter> usage() {
		return this.usage;
	}

	/**
	 * Returns the HTTP client for endpoints and peers.
	 * @return the client
	 */
	public HttpClient client() {
		return this.client;
	}

	/**
	 * Returns the loop that handles all traffic.
	 * @return the loop
	 */
	public TrafficLoop loop() {
		return this.client.loop();
	}

	/**
	 * Returns the recorder of errors that no code expects.
	 * @return the recorder
	 */
	public UnexpectedErrors errors() {
		return loop().errors();
	}

	/**
	 * Returns the clock.
	 * @return the time source
	 */
	public TimeSource time() {
		return this.time;
	}

	/**
	 * Returns the serving state of the traffic thread.
	 * @return the state
	 */
	public ServingState state() {
		return this.state;
	}

	/**
	 * Returns the protocol for callers' requests.
	 * @return the protocol
	 */
	public CallerProtocol callers() {
		return this.callers;
	}

	/**
	 * Returns the protocol for messages to and from endpoints.
	 * @return the protocol
	 */
	public EndpointProtocol endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the source of random numbers.
	 * @return the generator
	 */
	public RandomGenerator random() {
		return this.random;
	}

	/**
	 * Returns the log of the decisions about requests.
	 * @return the log
	 */
	public DecisionLog log() {
		return this.log;
	}

	/**
	 * Returns the counters and histograms.
	 * @return the metrics
	 */
	public EngineMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the admission control, which decides whether a request is accepted.
	 * @return the admission control
	 */
	public Admission admission() {
		return this.admission;
	}

	/**
	 * Returns the memory for responses that are not passed on yet.
	 * @return the memory
	 */
	public ResponseMemory responseMemory() {
		return this.responseMemory;
	}

	/**
	 * Returns the watch that finds out which endpoints ended with requests.
	 * @return the watch
	 */
	public CrashWatch crashWatch() {
		return this.crashWatch;
	}

	/**
	 * Returns the recorder of what endpoints say about themselves.
	 * @return the recorder
	 */
	public EndpointStatements statements() {
		return this.statements;
	}

	/**
	 * Returns the placement that chooses among endpoints that are not model engines.
	 * @return the placement
	 */
	public PlainPlacement plainPlacement() {
		return this.plainPlacement;
	}

	/**
	 * Returns the placement that chooses among model engines.
	 * @return the placement
	 */
	public EnginePlacement enginePlacement() {
		return this.enginePlacement;
	}

}
