package io.wagtailmux.engine.front;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

import io.wagtailmux.engine.state.RefusalOperations;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.PoolId;

/**
 * Lists and lifts refusals of prompt parts, for operators. Passes on all other requests
 * to the next handler.
 *
 * <pre class="code">
 * GET  /refusals                              {"refusals": [{"pool": ..., "parts": [...], "state": ...}]}
 * POST /refusals/lift?pool=POOL&amp;part=ID       {"code": "lifted"}, or 404 {"code": "unknown-refusal"}
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class RefusalsHandler extends SimpleChannelInboundHandler<HttpRequest> {

	private static final String LIST_PATH = "/refusals";

	private static final String LIFT_PATH = "/refusals/lift";

	private final RefusalOperations operations;

	/**
	 * Creates the handler of one connection.
	 * @param operations lists and lifts refusals
	 */
	public RefusalsHandler(RefusalOperations operations) {
		super(false);
		this.operations = operations;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
		QueryStringDecoder target = new QueryStringDecoder(request.uri());
		if (target.path().equals(LIST_PATH) && request.method().equals(HttpMethod.GET)) {
			write(context, HttpResponseStatus.OK, list());
		}
		else if (target.path().equals(LIFT_PATH) && request.method().equals(HttpMethod.POST)) {
			lift(context, target.parameters());
		}
		else {
			context.fireChannelRead(request);
		}
	}

	private JsonObject list() {
		JsonArray refusals = new JsonArray();
		this.operations.refusals().forEach((refusal) -> refusals.add(json(refusal)));
		JsonObject body = new JsonObject();
		body.add("refusals", refusals);
		return body;
	}

	private void lift(ChannelHandlerContext context, Map<String, List<String>> parameters) {
		try {
			PoolId pool = new PoolId(parameters.getOrDefault("pool", List.of("")).get(0));
			boolean lifted = this.operations.lift(pool, Set.copyOf(parameters.getOrDefault("part", List.of())));
			write(context, lifted ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
					lifted ? code("lifted", "in force on all instances within seconds")
							: code("unknown-refusal", "no refusal of just these parts in the pool"));
		}
		catch (ModelException ex) {
			write(context, HttpResponseStatus.BAD_REQUEST, code("invalid-pool", ex.getMessage()));
		}
	}

	private static JsonObject json(RefusalOperations.PoolRefusal entry) {
		JsonObject json = new JsonObject();
		json.addProperty("pool", entry.pool().value());
		json.add("parts", strings(entry.refusal().parts().stream().sorted().toList()));
		json.addProperty("state", entry.refusal().state().name().toLowerCase(Locale.ROOT));
		json.addProperty("revision", entry.refusal().revision());
		json.addProperty("relapses", entry.refusal().relapses());
		json.add("ended", strings(entry.refusal().toldBy()));
		return json;
	}

	private static JsonArray strings(List<String> values) {
		JsonArray array = new JsonArray();
		values.forEach(array::add);
		return array;
	}

	private static JsonObject code(String code, String detail) {
		JsonObject json = new JsonObject();
		json.addProperty("code", code);
		json.addProperty("detail", detail);
		return json;
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, JsonObject json) {
		ByteBuf body = Unpooled.copiedBuffer(json.toString(), StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

}
