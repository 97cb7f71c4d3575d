package io.wagtailmux.engine.port;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.EndpointId;

/**
 * Encodes and decodes the messages that are exchanged with endpoints. Implementations are
 * called on the traffic thread.
 *
 * @author the wagtailmux developers
 */
public interface EndpointProtocol {

	/**
	 * Returns the headers of a forwarded request: those of the caller without hop-by-hop
	 * headers and without headers that only this system may set, and those that this
	 * instance adds.
	 * @param received the caller's headers; not changed
	 * @param call the values that this instance adds
	 * @return the headers to send to the endpoint
	 */
	HttpHeaders requestHeaders(HttpHeaders received, ForwardedCall call);

	/**
	 * Returns the headers of an answer that is forwarded to the caller.
	 * @param received the endpoint's headers; not changed
	 * @return the headers without hop-by-hop headers and those of the framing
	 */
	HttpHeaders responseHeaders(HttpHeaders received);

	/**
	 * Returns whether a response belongs to a request. An endpoint may send a second
	 * response to an earlier request of the same connection.
	 * @param response the response
	 * @param attempt the attempt that was forwarded
	 * @return whether the response names this attempt and no other one
	 */
	boolean isResponseTo(HttpResponse response, AttemptId attempt);

	/**
	 * Returns the ids of the attempts that a response names.
	 * @param response the response
	 * @return the ids as they were received; none if it names no attempt
	 */
	List<String> namedAttempts(HttpResponse response);

	/**
	 * Parses the headers of a response.
	 * @param response the response
	 * @param attempt the attempt that was forwarded; empty for calls that this instance
	 * makes itself
	 * @return the parsed values
	 */
	EndpointAnswer read(HttpResponse response, Optional<AttemptId> attempt);

	/**
	 * Encodes a call that executes a batch of pieces.
	 * @param endpoint the endpoint that is to execute them; any other refuses the call
	 * @param orders the pieces
	 * @return the request, without a timeout or a maximum idle time, which the calling
	 * code sets
	 */
	OutgoingRequest.Builder pieces(EndpointId endpoint, List<PieceOrder> orders);

	/**
	 * Decodes the response to a call that executes a batch of pieces.
	 * @param body the body; not released
	 * @param expected the number of pieces in the call
	 * @return the outcomes, in the order of the call
	 * @throws ProtocolException if the body cannot be parsed or holds another number of
	 * outcomes
	 */
	List<PieceOutcome> pieceOutcomes(ByteBuf body, int expected);

	/**
	 * Encodes a call that releases results.
	 * @param handles the results, all kept by the same endpoint
	 * @return the request, without a timeout or a maximum idle time, which the calling
	 * code sets
	 */
	OutgoingRequest.Builder free(List<ResultHandle> handles);

	/**
	 * Returns the address of the endpoint that keeps a result.
	 * @param handle the handle of the result
	 * @return the address; empty if the handle does not contain a valid one
	 */
	Optional<InetSocketAddress> location(ResultHandle handle);

}
