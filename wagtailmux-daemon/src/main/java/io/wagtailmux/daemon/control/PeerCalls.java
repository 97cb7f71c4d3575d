package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.peer.PeerClient;
import io.wagtailmux.peer.PeerException;

/**
 * Calls peers on its own threads, at most one call at a time to each peer. A failed call
 * is logged. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class PeerCalls implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(PeerCalls.class);

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "peer-call");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<InetSocketAddress, PeerClient> clients = new ConcurrentHashMap<>();

	private final Set<InetSocketAddress> busy = ConcurrentHashMap.newKeySet();

	/**
	 * Starts a call to a peer unless one is in progress, and returns at once.
	 * @param address the address on which the peer listens
	 * @param call makes the call on a thread of its own
	 * @return {@code false} if a call to the peer is in progress, or after
	 * {@link #close()}
	 */
	boolean call(InetSocketAddress address, Consumer<PeerClient> call) {
		if (!this.busy.add(address)) {
			return false;
		}
		try {
			this.threads.execute(() -> run(address, call));
			return true;
		}
		catch (RejectedExecutionException ex) {
			this.busy.remove(address);
			return false;
		}
	}

	/**
	 * Tells whether a peer can be called now.
	 * @param address the address on which the peer listens
	 * @return whether no call to it is in progress
	 */
	boolean isIdle(InetSocketAddress address) {
		return !this.busy.contains(address);
	}

	/**
	 * Closes the connections to peers that are no longer known. A connection with a call
	 * in progress is kept until a later invocation.
	 * @param known the addresses of the known peers
	 */
	void closeUnknown(Set<InetSocketAddress> known) {
		this.clients.entrySet().removeIf((entry) -> {
			boolean unknown = !known.contains(entry.getKey()) && !this.busy.contains(entry.getKey());
			if (unknown) {
				entry.getValue().close();
			}
			return unknown;
		});
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
		this.clients.values().forEach(PeerClient::close);
	}

	private void run(InetSocketAddress address, Consumer<PeerClient> call) {
		try {
			call.accept(this.clients.computeIfAbsent(address, PeerClient::new));
		}
		catch (PeerException ex) {
			LOG.debug("peer {} does not answer: {}", address, ex.getMessage());
		}
		catch (RuntimeException ex) {
			LOG.warn("call to peer {} failed", address, ex);
		}
		finally {
			this.busy.remove(address);
		}
	}

}
