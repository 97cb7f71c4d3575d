package io.wagtailmux.daemon;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Puts a {@link RequestGuard} behind the HTTP codec of each connection that the process
 * accepts. Netty finds it as a service once {@link #enable()} was called; Jooby itself
 * has no place for handlers.
 *
 * @author the wagtailmux developers
 */
public final class RequestGuardExtension extends ChannelInitializerExtension {

	/**
	 * Lets Netty find extensions; to be called before the first server is started.
	 */
	static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
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
