package io.wagtailmux.engine.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections to a silent machine that stay open, or that the kernel ends
 * sooner than the keep-alive probes say: it does so with a user timeout, which some
 * transports set by themselves.
 */
@Timeout(30)
class TcpKeepAliveTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void probesDecideAboutFourSecondsAfterTheLastPacketAndNoUserTimeoutIsSet() throws Exception {
		Bootstrap bootstrap = TcpKeepAlive.applyTo(new Bootstrap().group(this.group).channel(NioSocketChannel.class));
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			Channel channel = bootstrap.handler(new ChannelInboundHandlerAdapter())
				.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()))
				.sync()
				.channel();
			assertThat(channel.config().getOption(ChannelOption.SO_KEEPALIVE)).isTrue();
			assertThat(channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)))
				.isEqualTo(2);
			assertThat(channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)))
				.isEqualTo(1);
			assertThat(channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)))
				.isEqualTo(2);
			Set<String> options = channel.config()
				.getOptions()
				.keySet()
				.stream()
				.map(ChannelOption::name)
				.collect(Collectors.toSet());
			assertThat(options).noneMatch((name) -> name.contains("USER_TIMEOUT"));
			channel.close().sync();
		}
	}

}
