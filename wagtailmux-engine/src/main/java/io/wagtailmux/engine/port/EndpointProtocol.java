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
 * Speaks with endpoints.
 *
 * @author the wagtailmux developers
 */
public interface EndpointProtocol {

	/**
	 * Works out the headers of a request that is forwarded: those of the caller, without
	 * the ones that concern its connection or are not its to set, and those that this
	 * instance sets.
	 * @param received the caller's headers
	 * @param call what this instance adds
	 * @return the headers
	 */
	HttpHeaders requestHeaders(HttpHeaders received, ForwardedCall call);

	/**
	 * Works out the headers of an answer that is passed on to the caller.
	 * @param received the endpoint's headers
	 * @return the headers without those that concern the endpoint's connection or framing
	 */
	HttpHeaders responseHeaders(HttpHeaders received);

	/**
	 * Tells whether a response answers a request. An endpoint may answer an earlier
	 * request of the connection once more.
	 * @param response the response
	 * @param attempt the attempt that was forwarded
	 * @return whether it is not the answer to another attempt
	 */
	boolean isResponseTo(HttpResponse response, AttemptId attempt);

	/**
	 * Reads what the endpoint said beside its answer.
	 * @param response the response
	 * @param attempt the attempt that was forwarded; none for calls of this instance
	 * @return the facts
	 */
	EndpointAnswer read(HttpResponse response, Optional<AttemptId> attempt);

	/**
	 * Encodes a call that makes pieces.
	 * @param endpoint the endpoint that is to make them; any other refuses
	 * @param orders the pieces
	 * @return the request, without its bounds
	 */
	OutgoingRequest.Builder pieces(EndpointId endpoint, List<PieceOrder> orders);

	/**
	 * Decodes the answer to a call that makes pieces.
	 * @param body the body
	 * @param expected the number of pieces in the call
	 * @return the outcomes, in the order of the call
	 * @throws ProtocolException if the body cannot be read or has another number
	 */
	List<PieceOutcome> pieceOutcomes(ByteBuf body, int expected);

	/**
	 * Encodes a call that gives results up.
	 * @param handles the results, all at one endpoint
	 * @return the request, without its bounds
	 */
	OutgoingRequest.Builder free(List<ResultHandle> handles);

	/**
	 * Tells where a result is kept.
	 * @param handle the result
	 * @return the address of the endpoint; nothing if the handle does not say
	 */
	Optional<InetSocketAddress> location(ResultHandle handle);

}
