package io.wagtailmux.daemon.control;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;

import io.wagtailmux.daemon.endpoint.EndpointClient;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.StageProtocol;

/**
 * Probes endpoints for the current incarnations of their processes, on its own threads.
 * At most one probe of an endpoint is in progress at a time.
 *
 * @author the wagtailmux developers
 */
final class EndpointProber implements AutoCloseable {

	private static final int PROBE_THREADS = 16;

	private final ExecutorService threads = Executors.newFixedThreadPool(PROBE_THREADS, (task) -> {
		Thread thread = new Thread(task, "endpoint-probe");
		thread.setDaemon(true);
		return thread;
	});

	private final Set<EndpointId> inProgress = ConcurrentHashMap.newKeySet();

	private final EndpointClient client;

	private final BiConsumer<EndpointId, BootId> listener;

	/**
	 * Creates a prober.
	 * @param client calls endpoints
	 * @param listener receives the incarnation that a probe found, on a probe thread; not
	 * called if the endpoint does not report one
	 */
	EndpointProber(EndpointClient client, BiConsumer<EndpointId, BootId> listener) {
		this.client = client;
		this.listener = listener;
	}

	/**
	 * Starts a probe of each endpoint that has none in progress, and returns at once.
	 * @param endpoints the endpoints and the protocols of their pools
	 */
	void probe(Map<Endpoint, StageProtocol> endpoints) {
		endpoints.forEach((endpoint, protocol) -> {
			if (this.inProgress.add(endpoint.id())) {
				startProbe(endpoint, protocol);
			}
		});
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

	private void startProbe(Endpoint endpoint, StageProtocol protocol) {
		try {
			this.threads.execute(() -> {
				try {
					this.client.probe(endpoint, protocol)
						.ifPresent((incarnation) -> this.listener.accept(endpoint.id(), incarnation));
				}
				finally {
					this.inProgress.remove(endpoint.id());
				}
			});
		}
		catch (RejectedExecutionException ex) {
			this.inProgress.remove(endpoint.id());
		}
	}

}
