package io.wagtailmux.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

import io.wagtailmux.peer.wire.ConfigurationMessage;
import io.wagtailmux.peer.wire.DigestMessage;
import io.wagtailmux.peer.wire.PeerExchange;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;

/**
 * Client of one peer. The connection is opened by the first call and reused. It is closed
 * after a failed call, so that a late answer cannot be read as the answer to the next
 * call. Connecting and each wait for data time out after 800 ms. Thread-safe; calls run
 * one at a time, and {@link #close} waits for a running call. A call after {@link #close}
 * opens a new connection.
 *
 * @author the wagtailmux developers
 */
public final class PeerClient implements AutoCloseable {

	private static final Duration SOCKET_TIMEOUT = Duration.ofMillis(800);

	private final InetSocketAddress address;

	private TFramedTransport transport;

	private PeerExchange.Client client;

	/**
	 * Creates a client without opening a connection.
	 * @param address the address on which the peer listens
	 */
	public PeerClient(InetSocketAddress address) {
		this.address = address;
	}

	/**
	 * Exchanges digests with the peer.
	 * @param ownDigest the state of this instance
	 * @return the state of the peer
	 * @throws PeerException with {@link PeerErrorCode#UNREACHABLE} if the call fails
	 */
	public synchronized DigestMessage exchange(DigestMessage ownDigest) {
		return call((peer) -> peer.exchange(ownDigest));
	}

	/**
	 * Requests the peer's current configuration.
	 * @return the configuration, with version zero if the peer has none
	 * @throws PeerException with {@link PeerErrorCode#UNREACHABLE} if the call fails
	 */
	public synchronized ConfigurationMessage configuration() {
		return call(PeerExchange.Client::configuration);
	}

	/**
	 * Requests shares of the call limits of endpoints from the peer that limits them.
	 * @param instance this instance's id
	 * @param reports this instance's reports on those endpoints
	 * @return the granted shares
	 * @throws PeerException with {@link PeerErrorCode#UNREACHABLE} if the call fails
	 */
	public synchronized List<ShareGrantMessage> shares(String instance, List<ShareReportMessage> reports) {
		return call((peer) -> peer.shares(instance, reports));
	}

	@Override
	public synchronized void close() {
		if (this.transport != null) {
			this.transport.close();
			this.transport = null;
		}
	}

	private <T> T call(PeerCall<T> call) {
		try {
			if (this.transport == null) {
				connect();
			}
			return call.invoke(this.client);
		}
		catch (TException ex) {
			close();
			throw new PeerException(PeerErrorCode.UNREACHABLE, "call to peer " + this.address + " failed", ex);
		}
	}

	private void connect() throws TTransportException {
		int milliseconds = (int) SOCKET_TIMEOUT.toMillis();
		TSocket socket = new TSocket(this.address.getHostString(), this.address.getPort(), milliseconds);
		TFramedTransport opened = new TFramedTransport(socket);
		opened.open();
		this.transport = opened;
		this.client = new PeerExchange.Client(new TCompactProtocol(opened));
	}

	/**
	 * A call to a peer.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	private interface PeerCall<T> {

		T invoke(PeerExchange.Client peer) throws TException;

	}

}
