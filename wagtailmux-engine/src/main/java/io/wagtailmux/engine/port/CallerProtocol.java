package io.wagtailmux.engine.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Parses the headers of callers' requests. Implementations are called on the traffic
 * thread.
 *
 * @author the wagtailmux developers
 */
public interface CallerProtocol {

	/**
	 * Parses the headers of a request.
	 * @param head the head of the request
	 * @return the parsed values, with defaults for optional headers that are missing
	 * @throws ProtocolException if a required header is missing or a header is malformed
	 */
	CallerRequest read(HttpRequest head);

	/**
	 * Returns the headers that tell a caller that its request did not run.
	 * @return the headers, which must not be changed
	 */
	HttpHeaders notRunHeaders();

}
