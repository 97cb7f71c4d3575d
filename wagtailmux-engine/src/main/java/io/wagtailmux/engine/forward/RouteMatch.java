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
 * What the configuration says of a request.
 *
 * @param route its route
 * @param organisation whose request it is; nothing on a route that needs no key
 * @param priority the rank of the request; larger is less urgent
 * @author the wagtailmux developers
 */
record RouteMatch(Route route, Optional<OrganisationId> organisation, int priority) {

	/**
	 * Finds a request's route and organisation.
	 * @param configuration the configuration in force
	 * @param head method, path and headers
	 * @param request what the caller said
	 * @return the match
	 * @throws RejectionException if there is no route, or no organisation holds the key
	 */
	static RouteMatch find(ServingConfiguration configuration, HttpRequest head, CallerRequest request) {
		String host = host(head);
		Route route = configuration.route(host, path(head))
			.orElseThrow(() -> new RejectionException(RejectionCode.NO_ROUTE,
					"no route for " + host + " in version " + configuration.version()));
		Optional<OrganisationKeys> holder = request.key().flatMap(configuration::organisation);
		if (holder.isEmpty() && configuration.hasOrganisations() && !route.anonymous()) {
			throw new RejectionException(RejectionCode.UNKNOWN_KEY,
					"no organisation holds the key in version " + configuration.version());
		}
		int priority = holder.map(OrganisationKeys::priority)
			.filter((rank) -> rank.isPresent())
			.map((rank) -> rank.getAsInt())
			.orElse(route.priority());
		return new RouteMatch(route, holder.map(OrganisationKeys::id), priority);
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
