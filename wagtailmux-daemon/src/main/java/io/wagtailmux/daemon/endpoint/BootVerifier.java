package io.wagtailmux.daemon.endpoint;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.StageProtocol;

/**
 * Lets a call onto a connection only once it is known which run of the endpoint's process
 * is at the other end.
 *
 * <p>
 * A TCP connection never outlives the process that accepted it. So the first exchange on
 * each connection is a health probe that names the process's boot id; from then on the
 * connection proves that the same process is there, without further cost. An endpoint
 * that restarts without warning loses all its connections, and no call that was allowed
 * for the process before can reach the new one.
 *
 * <p>
 * Used twice by a client: as a network interceptor it probes new connections, as an
 * application interceptor it sends the call itself after a probe.
 *
 * @author the wagtailmux developers
 */
final class BootVerifier {

	private static final String PROBE_MARK = "Wagtailmux-Internal-Probed";

	private static final int MAXIMUM_PROBES = 64;

	private final Map<Connection, BootId> verified = Collections.synchronizedMap(new WeakHashMap<>());

	/**
	 * Probes the connection if it is new, else sends the call.
	 * @param chain the chain of network interceptors
	 * @return the answer to the call, or to the probe with the mark {@link #PROBE_MARK}
	 * @throws IOException if the exchange fails or the process is another one
	 */
	Response onConnection(Interceptor.Chain chain) throws IOException {
		Request request = chain.request();
		Attempt attempt = request.tag(Attempt.class);
		if (attempt == null) {
			return chain.proceed(request);
		}
		BootId boot = this.verified.get(chain.connection());
		if (boot == null) {
			return probe(chain, request, attempt);
		}
		attempt.onConnected(boot);
		attempt.markSent();
		return chain.proceed(request);
	}

	/**
	 * Sends the call until it was sent rather than a probe in its place.
	 * @param chain the chain of application interceptors
	 * @return the answer to the call
	 * @throws IOException if the exchange fails
	 */
	Response onCall(Interceptor.Chain chain) throws IOException {
		for (int probes = 0; probes < MAXIMUM_PROBES; probes++) {
			Response response = chain.proceed(chain.request());
			if (response.header(PROBE_MARK) == null) {
				return response;
			}
			response.close();
		}
		throw new IOException("no connection stayed open after " + MAXIMUM_PROBES + " probes");
	}

	private Response probe(Interceptor.Chain chain, Request request, Attempt attempt) throws IOException {
		StageProtocol protocol = request.tag(StageProtocol.class);
		Request probe = new Request.Builder().url(request.url().resolve(protocol.healthPath())).get().build();
		Request probeWithHost = probe.newBuilder().header("Host", request.header("Host")).build();
		Response response = chain.proceed(probeWithHost);
		String boot = response.header(WireHeaders.BOOT_ID);
		response.body().bytes();
		if (!response.isSuccessful() || boot == null) {
			throw new IOException("health probe: status " + response.code() + ", boot id " + boot);
		}
		BootId actualBoot = new BootId(boot);
		this.verified.put(chain.connection(), actualBoot);
		attempt.onConnected(actualBoot);
		return response.newBuilder().header(PROBE_MARK, "true").body(ResponseBody.create("", null)).build();
	}

}
