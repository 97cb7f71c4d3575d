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
 * Interceptors that send a call on a connection only after the incarnation of the
 * endpoint's process on the remote side has been verified.
 *
 * <p>
 * A TCP connection never outlives the process that accepted it. The first exchange on
 * each connection is therefore a health probe, whose response carries the boot id of the
 * process; later calls on the same connection reach the same process and need no probe.
 * An endpoint that restarts loses all its connections, so that a call that was allowed
 * for the previous process cannot reach the new one.
 *
 * <p>
 * A client installs both methods: {@link #onConnection} as a network interceptor, which
 * probes new connections, and {@link #onCall} as an application interceptor, which sends
 * the call again after a probe was sent in its place. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class BootVerifier {

	private static final String PROBE_MARK = "Wagtailmux-Internal-Probed";

	private static final int MAXIMUM_PROBES = 64;

	private final Map<Connection, BootId> verified = Collections.synchronizedMap(new WeakHashMap<>());

	/**
	 * Sends the call if the connection is verified, else a health probe in its place.
	 * @param chain the chain of network interceptors
	 * @return the response to the call, or the response to the probe with the header
	 * {@link #PROBE_MARK}
	 * @throws IOException if the exchange or the probe fails, or the process is not the
	 * one that the call is allowed for
	 * @throws io.wagtailmux.model.ModelException if the boot id in the response to a
	 * probe has an invalid form
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
	 * Repeats the exchange until the call itself, not a probe, was sent.
	 * @param chain the chain of application interceptors
	 * @return the response to the call
	 * @throws IOException if the exchange fails, or each of {@link #MAXIMUM_PROBES}
	 * attempts ended with a probe because no probed connection stayed open
	 */
	Response onCall(Interceptor.Chain chain) throws IOException {
		for (int probes = 0; probes < MAXIMUM_PROBES; probes++) {
			Response response = chain.proceed(chain.request());
			if (response.header(PROBE_MARK) == null) {
				return response;
			}
			response.close();
		}
		throw new IOException("no connection stayed open for the call after " + MAXIMUM_PROBES + " probes");
	}

	private Response probe(Interceptor.Chain chain, Request request, Attempt attempt) throws IOException {
		StageProtocol protocol = request.tag(StageProtocol.class);
		Request probe = new Request.Builder().url(request.url().resolve(protocol.healthPath())).get().build();
		// The library adds the Host header before network interceptors run, so the probe
		// would not have one.
		Request probeWithHost = probe.newBuilder().header("Host", request.header("Host")).build();
		Response response = chain.proceed(probeWithHost);
		String boot = response.header(WireHeaders.BOOT_ID);
		// The connection can be used again only after the body has been read.
		response.body().bytes();
		if (!response.isSuccessful() || boot == null) {
			throw new IOException("health probe failed: status " + response.code() + ", boot id " + boot);
		}
		BootId actualBoot = new BootId(boot);
		this.verified.put(chain.connection(), actualBoot);
		attempt.onConnected(actualBoot);
		return response.newBuilder().header(PROBE_MARK, "true").body(ResponseBody.create("", null)).build();
	}

}
