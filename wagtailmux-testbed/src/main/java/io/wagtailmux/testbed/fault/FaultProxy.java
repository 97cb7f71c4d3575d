package io.wagtailmux.testbed.fault;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.wagtailmux.testbed.standin.StandInException;

/**
 * A TCP proxy on loopback that injects faults into the link to one server. Its random
 * delays are repeatable by their seed.
 *
 * @author the wagtailmux developers
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 << 10;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "fault-proxy");
		thread.setDaemon(true);
		return thread;
	});

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final SplittableRandom random;

	private final ServerSocket listener;

	private final int targetPort;

	private volatile LinkFault fault = LinkFault.NONE;

	private volatile Duration largestDelay = Duration.ZERO;

	/**
	 * Starts a proxy without faults.
	 * @param target the server
	 * @param seed the seed of the random delays
	 */
	public FaultProxy(URI target, long seed) {
		this.targetPort = target.getPort();
		this.random = new SplittableRandom(seed);
		try {
			this.listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new StandInException("cannot listen", ex);
		}
		this.threads.execute(this::listen);
	}

	/**
	 * Returns where clients reach the server through the proxy.
	 * @return the base address
	 */
	public URI address() {
		return URI.create("http://127.0.0.1:" + this.listener.getLocalPort());
	}

	/**
	 * Changes the link's fault; {@link LinkFault#RESET} breaks open connections too.
	 * @param next the fault
	 */
	public void setFault(LinkFault next) {
		this.fault = next;
		if (next == LinkFault.RESET) {
			this.sockets.forEach(FaultProxy::reset);
		}
	}

	/**
	 * Delays each chunk of bytes by a random time.
	 * @param largest the longest delay
	 */
	public void setMaximumDelay(Duration largest) {
		this.largestDelay = largest;
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new StandInException("cannot close", ex);
		}
		this.sockets.forEach(FaultProxy::reset);
		this.threads.shutdownNow();
	}

	private void listen() {
		while (!this.listener.isClosed()) {
			try {
				Socket client = this.listener.accept();
				this.threads.execute(() -> connect(client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket client) {
		this.sockets.add(client);
		if (this.fault == LinkFault.RESET) {
			reset(client);
			return;
		}
		try {
			Socket server = new Socket();
			this.sockets.add(server);
			server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.targetPort));
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			this.threads.execute(() -> pump(server, client, false));
			pump(client, server, true);
		}
		catch (IOException ex) {
			reset(client);
		}
	}

	private void pump(Socket from, Socket to, boolean towardsServer) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				pause();
				if (passes(towardsServer)) {
					out.write(buffer, 0, count);
				}
				if (towardsServer && this.fault == LinkFault.HALF_CLOSE) {
					to.shutdownOutput();
				}
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			reset(from);
			reset(to);
		}
		finally {
			this.sockets.remove(from);
		}
	}

	private boolean passes(boolean towardsServer) {
		return switch (this.fault) {
			case BLACK_HOLE -> false;
			case ANSWERS_DROPPED -> towardsServer;
			default -> true;
		};
	}

	private void pause() {
		long largestNanos = this.largestDelay.toNanos();
		if (largestNanos == 0) {
			return;
		}
		try {
			Thread.sleep(Duration.ofNanos(nextDelayNanos(largestNanos)).toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized long nextDelayNanos(long largestNanos) {
		return this.random.nextLong(largestNanos);
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is closed already.
		}
	}

}
