package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * The newest statements of endpoints about how long work takes there, as this instance
 * has seen them itself, to be told to others. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
public final class StatedSpeeds {

	/** Statements that are told at a time, whatever the number of endpoints. */
	private static final int MOST_TOLD = 2;

	/** About the time in which all instances have been asked. */
	private static final Duration LIFETIME = Duration.ofSeconds(4);

	private final Map<EndpointId, StatedSpeed> statements = new LinkedHashMap<>();

	/**
	 * Notes a statement.
	 * @param endpoint the endpoint
	 * @param workTime how long work takes there, as a multiple of the usual time
	 * @param now the elapsed time
	 */
	public void record(RegisteredEndpoint endpoint, double workTime, Duration now) {
		this.statements.remove(endpoint.id());
		this.statements.put(endpoint.id(), new StatedSpeed(endpoint, workTime, now));
		this.statements.values().removeIf((statement) -> now.minus(statement.at()).compareTo(LIFETIME) > 0);
	}

	/**
	 * Returns the statements to tell.
	 * @param now the elapsed time
	 * @return the newest ones, the latest first
	 */
	public List<StatedSpeed> newest(Duration now) {
		List<StatedSpeed> newest = new ArrayList<>(this.statements.values());
		newest.removeIf((statement) -> now.minus(statement.at()).compareTo(LIFETIME) > 0);
		Collections.reverse(newest);
		return List.copyOf(newest.subList(0, Math.min(MOST_TOLD, newest.size())));
	}

	/**
	 * Statement of an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param workTime how long work takes there, as a multiple of the usual time
	 * @param at the elapsed time at which it was seen
	 */
	public record StatedSpeed(RegisteredEndpoint endpoint, double workTime, Duration at) {

	}

}
