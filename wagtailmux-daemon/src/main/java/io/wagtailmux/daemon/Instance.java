package io.wagtailmux.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.daemon.caller.CallerInterface;
import io.wagtailmux.daemon.claim.ClaimedRequests;
import io.wagtailmux.daemon.control.InstanceControl;
import io.wagtailmux.daemon.endpoint.EndpointClient;
import io.wagtailmux.daemon.operator.OperatorInterface;
import io.wagtailmux.daemon.settings.InstanceSettings;
import io.wagtailmux.daemon.traffic.PipelineRunner;
import io.wagtailmux.daemon.traffic.TrafficMetrics;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.configuration.ConfigurationStore;

/**
 * Entry instance: serves callers and operators and exchanges state with the other
 * instances.
 *
 * <p>
 * For example, {@code Instance.start(SettingsReader.read(path), TimeSource.system())};
 * later {@link #shutdown()}, which waits for requests in flight, or {@link #close()},
 * which stops at once.
 *
 * @author the wagtailmux developers
 */
public final class Instance implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Instance.class);

	private static final int OPERATOR_BODY_BYTES = 16 << 20;

	private final AtomicBoolean closed = new AtomicBoolean();

	private final InstanceSettings settings;

	private final EndpointClient client;

	private final InstanceControl control;

	private final ClaimedRequests claims;

	private final CallerInterface callers;

	// A listener is still null in close() if the constructor fails before starting it.
	private final HttpListener callerListener;

	private final HttpListener operatorListener;

	private Instance(InstanceSettings settings, TimeSource time) {
		this.settings = settings;
		Platform platform = Platform.connect(settings.platform());
		MetricRegistry metrics = new MetricRegistry();
		this.client = new EndpointClient(time);
		this.control = new InstanceControl(settings, platform, this.client, time);
		PipelineRunner runner = new PipelineRunner(this.client, this.control, new TrafficMetrics(metrics), time);
		this.claims = new ClaimedRequests(platform.table(), settings.id(), metrics);
		this.callers = new CallerInterface(settings.limits(), this.control, runner, this.claims, metrics, time);
		OperatorInterface operators = new OperatorInterface(settings, this.control,
				new ConfigurationStore(platform, time));
		this.control.start();
		this.operatorListener = startOrClose(
				() -> HttpListener.start(settings.operators(), OPERATOR_BODY_BYTES, operators.application()));
		this.callerListener = startOrClose(() -> HttpListener.start(settings.callers(), settings.limits().bodyBytes(),
				this.callers.application()));
		LOG.info("instance {} serves callers on port {} and operators on port {}", settings.id(), callerPort(),
				operatorPort());
	}

	/**
	 * Starts a listener, or closes the whole instance if the listener cannot be started.
	 * @param listener creates and starts the listener
	 * @return the running listener
	 */
	private HttpListener startOrClose(Supplier<HttpListener> listener) {
		try {
			return listener.get();
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Starts an instance and its listeners.
	 * @param settings the settings of the instance
	 * @param time the clock for deadlines, leases and measurements
	 * @return the running instance
	 * @throws DaemonException with {@link DaemonErrorCode#CANNOT_LISTEN} if the port for
	 * callers or operators cannot be bound
	 * @throws io.wagtailmux.peer.PeerException if the port for other instances cannot be
	 * bound
	 */
	public static Instance start(InstanceSettings settings, TimeSource time) {
		return new Instance(settings, time);
	}

	/**
	 * Returns the port that serves callers.
	 * @return the TCP port, also if the settings let the system choose it
	 */
	public int callerPort() {
		return this.callerListener.port();
	}

	/**
	 * Returns the port that serves operators.
	 * @return the TCP port, also if the settings let the system choose it
	 */
	public int operatorPort() {
		return this.operatorListener.port();
	}

	/**
	 * Returns the version of the configuration in force at this instance.
	 * @return the version; zero if there is no configuration yet
	 */
	public long configurationVersion() {
		return this.control.view().accepted().version();
	}

	/**
	 * Shuts down gracefully: reports the instance as not ready, waits for the shutdown
	 * delay, rejects new requests, waits for requests in flight, releases the leases and
	 * closes the instance. Blocks for the shutdown delay, up to the drain timeout, and up
	 * to one second for the leases.
	 * @return whether all requests in flight ended within the drain timeout;
	 * {@code false} also if the thread is interrupted
	 */
	public boolean shutdown() {
		LOG.info("instance {} is shutting down", this.settings.id());
		this.callers.markNotReady();
		sleep(this.settings.shutdownDelay());
		boolean drained = this.callers.drain(this.settings.drainTimeout());
		this.control.releaseLeases();
		close();
		LOG.info("instance {} stopped, {}", this.settings.id(),
				drained ? "all requests in flight ended" : "requests were aborted at the drain timeout");
		return drained;
	}

	private static void sleep(Duration delay) {
		try {
			Thread.sleep(delay.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Stops without waiting for requests in flight, which are aborted. Does not release
	 * leases; they expire. Further calls have no effect.
	 */
	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			Stream.of(Optional.ofNullable(this.callerListener), Optional.ofNullable(this.operatorListener))
				.flatMap(Optional::stream)
				.forEach(HttpListener::stop);
			this.callers.close();
			this.claims.close();
			this.control.close();
			this.client.close();
		}
	}

}
