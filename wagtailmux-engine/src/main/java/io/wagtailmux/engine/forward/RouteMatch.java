package io.wagtailmux.engine.forward;

import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.serving.OrganisationKeys;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Route and organisation of a request, as found in the configuration.
 *
 * @param route the route of the request
 * @param organisation the organisation that the request's key belongs to; empty for a
 * request without a known key, where the configuration admits it
 * @param priority the priority of the request; larger is less urgent
 * @author the wagtailmux developers
 */
record RouteMatch(Route route, Optional<OrganisationId> organisation, int priority) {

	/**
	 * Finds the route and the organisation of a request. The priority is that of the
	 * organisation, or that of the route if the organisation has none.
	 * @param configuration the configuration in force
	 * @param head the method, the path and the headers
	 * @param request the values that the caller stated
	 * @return the match
	 * @throws RejectionException if no route matches, or if a key is required and belongs
	 * to no organisation
	 */
	static RouteMatch find(ServingConfiguration configuration, HttpRequest head, CallerRequest request) {
		String host = host(head);
		Route route = configuration.route(host, path(head))
			.orElseThrow(() -> new RejectionException(RejectionCode.NO_ROUTE,
					"no route for host " + host + " in configuration version " + configuration.version()));
		Optional<OrganisationKeys> keys = request.key().flatMap(configuration::organisation);
		if (keys.isEmpty() && configuration.requiresKeys() && !route.anonymous()) {
			throw new RejectionException(RejectionCode.UNKNOWN_KEY,
					"API key missing or unknown in configuration version " + configuration.version());
		}
		int priority = keys.map(OrganisationKeys::priority)
			.filter((rank) -> rank.isPresent())
			.map((rank) -> rank.getAsInt())
			.orElse(route.priority());
		return new RouteMatch(route, keys.map(OrganisationKeys::id), priority);
	}

	private static String path(HttpRequest head) {
		return head.uri().split("\\?", 2)[0];
	}

	private static String host(HttpRequest head) {
		String host = head.headers().get(HttpHeaderNames.HOST, "");
		int port = host.lastIndexOf(':');
		return ((port >= 0) ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
	}

}
