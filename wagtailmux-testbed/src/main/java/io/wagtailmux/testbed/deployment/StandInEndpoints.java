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
 * One stand-in for each endpoint of a configuration.
 *
 * @author the wagtailmux developers
 */
public final class StandInEndpoints implements AutoCloseable {

	private static final int TOKENS = 16;

	private final Map<EndpointId, StandInEndpoint> endpoints = new LinkedHashMap<>();

	private final SystemConfiguration configuration;

	private final String text;

	/**
	 * Starts the stand-ins on any ports.
	 * @param text the INI text of the configuration, whose addresses do not matter
	 */
	public StandInEndpoints(String text) {
		this(text, false);
	}

	private StandInEndpoints(String text, boolean onConfiguredPorts) {
		this.configuration = ConfigurationFormat.read(text);
		Map<EndpointId, URI> addresses = new LinkedHashMap<>();
		for (Pool pool : this.configuration.pools().values()) {
			Queue<EndpointFault> faults = new ConcurrentLinkedQueue<>();
			for (Endpoint endpoint : this.configuration.endpointsOf(pool.id())) {
				StandInEndpoint standIn = new StandInEndpoint(modelOf(pool), faults,
						onConfiguredPorts ? endpoint.address().getPort() : 0);
				this.endpoints.put(endpoint.id(), standIn);
				addresses.put(endpoint.id(), standIn.address());
			}
		}
		this.text = ExampleConfiguration.withAddresses(text, addresses);
	}

	/**
	 * Starts the stand-ins on the ports of their addresses.
	 * @param text the INI text of the configuration
	 * @return the stand-ins
	 */
	public static StandInEndpoints onConfiguredPorts(String text) {
		return new StandInEndpoints(text, true);
	}

	/**
	 * Returns the INI text with the stand-ins' addresses.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the configuration.
	 * @return the configuration, whose addresses are not the stand-ins'
	 */
	public SystemConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Returns a stand-in.
	 * @param id the endpoint's id
	 * @return the stand-in
	 */
	public StandInEndpoint endpoint(String id) {
		return this.endpoints.get(new EndpointId(id));
	}

	/**
	 * Returns the stand-ins of a pool.
	 * @param pool the pool's id
	 * @return the stand-ins in the order of their ids
	 */
	public List<StandInEndpoint> pool(String pool) {
		return this.configuration.endpointsOf(new PoolId(pool))
			.stream()
			.map((endpoint) -> this.endpoints.get(endpoint.id()))
			.toList();
	}

	/**
	 * Returns all stand-ins.
	 * @return the stand-ins by the endpoints' ids
	 */
	public Map<EndpointId, StandInEndpoint> all() {
		return Map.copyOf(this.endpoints);
	}

	/**
	 * Adds up a count over all stand-ins.
	 * @param count the count
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
				pool.contract().warmLimit(), pool.contract().warmAfter(), TOKENS);
	}

}
