package io.wagtailmux.daemon;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Adds a {@link RequestGuard} after the HTTP codec of each connection that the process
 * accepts and that has such a codec; other connections are left unchanged. Jooby offers
 * no way to add Netty handlers, so Netty loads this class as a service, provided that
 * {@link #enable()} was called.
 *
 * @author the wagtailmux developers
 */
public final class RequestGuardExtension extends ChannelInitializerExtension {

	/**
	 * Makes Netty load channel initialiser extensions as services. Must be called before
	 * the first server of the process is started, because Netty reads the property once.
	 */
	static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		// The server adds its codec only when the channel is registered. This initialiser
		// runs after the one that does it.
		channel.pipeline().addLast(new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel accepted) {
				addGuard(accepted.pipeline());
			}

		});
	}

	private static void addGuard(ChannelPipeline pipeline) {
		if (pipeline.get(HttpServerCodec.class) != null) {
			pipeline.addAfter(pipeline.context(HttpServerCodec.class).name(), "request-guard", new RequestGuard());
		}
	}

}
