package io.wagtailmux.peer;

import java.net.InetSocketAddress;
import java.util.List;

import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

import io.wagtailmux.peer.wire.ConfigurationMessage;
import io.wagtailmux.peer.wire.DigestMessage;
import io.wagtailmux.peer.wire.PeerExchange;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;

/**
 * Server for the calls of peers. It uses a thread per connection, for at most 512
 * connections, and closes connections that are idle for 30 seconds.
 *
 * @author the wagtailmux developers
 */
public final class PeerServer implements AutoCloseable {

	private static final int MAXIMUM_CONNECTIONS = 512;

	private static final int IDLE_TIMEOUT_MILLISECONDS = 30_000;

	private final TServerSocket socket;

	private final TThreadPoolServer server;

	private final int port;

	/**
	 * Binds the address. Calls are answered only after {@link #start}.
	 * @param address the address to listen on; port zero selects a free port
	 * @param service handles the calls; it is called by several threads at the same time
	 * @throws PeerException with {@link PeerErrorCode#CANNOT_LISTEN} if the address
	 * cannot be bound
	 */
	public PeerServer(InetSocketAddress address, PeerService service) {
		try {
			this.socket = new TServerSocket(address, IDLE_TIMEOUT_MILLISECONDS);
		}
		catch (TTransportException ex) {
			throw new PeerException(PeerErrorCode.CANNOT_LISTEN, "cannot listen for peers on " + address, ex);
		}
		this.server = new TThreadPoolServer(new TThreadPoolServer.Args(this.socket)
			.processor(new PeerExchange.Processor<PeerExchange.Iface>(new Handler(service)))
			.transportFactory(new TFramedTransport.Factory())
			.protocolFactory(new TCompactProtocol.Factory())
			.minWorkerThreads(1)
			.maxWorkerThreads(MAXIMUM_CONNECTIONS));
		this.port = this.socket.getServerSocket().getLocalPort();
	}

	/**
	 * Starts answering calls on a daemon thread.
	 */
	public void start() {
		Thread thread = new Thread(this.server::serve, "peer-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the port, which differs from the requested one if that was zero
	 */
	public int port() {
		return this.port;
	}

	@Override
	public void close() {
		this.server.stop();
		this.socket.close();
	}

	private record Handler(PeerService service) implements PeerExchange.Iface {

		@Override
		public DigestMessage exchange(DigestMessage peerDigest) {
			return this.service.exchange(peerDigest);
		}

		@Override
		public ConfigurationMessage configuration() {
			return this.service.configuration();
		}

		@Override
		public List<ShareGrantMessage> shares(String instance, List<ShareReportMessage> reports) {
			return this.service.shares(instance, reports);
		}

	}

}
