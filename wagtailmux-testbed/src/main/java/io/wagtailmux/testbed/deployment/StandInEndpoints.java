package io.wagtailmux.testbed.deployment;

import java.net.URI;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.ToIntFunction;

import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.store.configuration.ConfigurationFormat;
import io.wagtailmux.testbed.standin.EndpointCounts;
import io.wagtailmux.testbed.standin.EndpointFault;
import io.wagtailmux.testbed.standin.EndpointModel;
import io.wagtailmux.testbed.standin.StandInEndpoint;

/**
 * The stand-ins of all endpoints of a configuration, one for each. The endpoints of a
 * pool share a queue of injected faults.
 *
 * @author the wagtailmux developers
 */
public final class StandInEndpoints implements AutoCloseable {

	private static final int STREAM_TOKENS = 16;

	private final Map<EndpointId, StandInEndpoint> endpoints = new LinkedHashMap<>();

	private final SystemConfiguration configuration;

	private final String text;

	/**
	 * Starts the stand-ins on free ports.
	 * @param text the INI text of the configuration, whose endpoint addresses are ignored
	 * @throws io.wagtailmux.store.ini.IniException if the configuration is invalid
	 */
	public StandInEndpoints(String text) {
		this(text, false);
	}

	private StandInEndpoints(String text, boolean useConfiguredPorts) {
		this.configuration = ConfigurationFormat.read(text);
		Map<EndpointId, URI> addresses = new LinkedHashMap<>();
		for (Pool pool : this.configuration.pools().values()) {
			Queue<EndpointFault> faults = new ConcurrentLinkedQueue<>();
			for (Endpoint endpoint : this.configuration.endpointsOf(pool.id())) {
				StandInEndpoint standIn = new StandInEndpoint(modelOf(pool), faults,
						useConfiguredPorts ? endpoint.address().getPort() : 0);
				this.endpoints.put(endpoint.id(), standIn);
				addresses.put(endpoint.id(), standIn.address());
			}
		}
		this.text = ExampleConfiguration.withAddresses(text, addresses);
	}

	/**
	 * Starts the stand-ins on the ports that the configuration names, on the loopback
	 * address.
	 * @param text the INI text of the configuration
	 * @return the running stand-ins
	 * @throws io.wagtailmux.store.ini.IniException if the configuration is invalid
	 * @throws io.wagtailmux.testbed.standin.StandInException if a port is in use
	 */
	public static StandInEndpoints onConfiguredPorts(String text) {
		return new StandInEndpoints(text, true);
	}

	/**
	 * Returns the configuration with the addresses of the stand-ins.
	 * @return the INI text
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the configuration as it was given.
	 * @return the configuration, without the addresses of the stand-ins
	 */
	public SystemConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the stand-in of an endpoint.
	 * @param id the id of the endpoint
	 * @return the stand-in, or null if the configuration has no such endpoint
	 */
	public StandInEndpoint endpoint(String id) {
		return this.endpoints.get(new EndpointId(id));
	}

	/**
	 * Returns the stand-ins of a pool.
	 * @param pool the id of the pool
	 * @return the stand-ins in the order of the ids of their endpoints; empty if there is
	 * no such pool
	 */
	public List<StandInEndpoint> pool(String pool) {
		return this.configuration.endpointsOf(new PoolId(pool))
			.stream()
			.map((endpoint) -> this.endpoints.get(endpoint.id()))
			.toList();
	}

	/**
	 * Returns all stand-ins.
	 * @return an unmodifiable copy, by the ids of the endpoints; its order differs
	 * between processes
	 */
	public Map<EndpointId, StandInEndpoint> all() {
		return Map.copyOf(this.endpoints);
	}

	/**
	 * Returns the sum of a count over all stand-ins.
	 * @param count returns the count of one stand-in
	 * @return the sum
	 */
	public int sum(ToIntFunction<EndpointCounts> count) {
		Collection<StandInEndpoint> all = this.endpoints.values();
		return all.stream().mapToInt((endpoint) -> count.applyAsInt(endpoint.counts())).sum();
	}

	@Override
	public void close() {
		this.endpoints.values().forEach(StandInEndpoint::close);
	}

	private static EndpointModel modelOf(Pool pool) {
		return new EndpointModel(pool.protocol(), pool.expectedServiceTime(), pool.contract().coldLimit(),
				pool.contract().warmLimit(), pool.contract().warmAfter(), STREAM_TOKENS);
	}

}
