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
 * A TCP proxy on the loopback address that injects faults into the link to one server.
 * The sequence of random delays is determined by the seed. Faults may be changed by any
 * thread at any time.
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

	private volatile Duration maximumDelay = Duration.ZERO;

	/**
	 * Starts a proxy without faults on a free port.
	 * @param target the address of the server, of which only the port is used; the server
	 * must listen on the loopback address
	 * @param seed the seed of the random delays
	 * @throws StandInException if the proxy cannot listen
	 */
	public FaultProxy(URI target, long seed) {
		this.targetPort = target.getPort();
		this.random = new SplittableRandom(seed);
		try {
			this.listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new StandInException("the fault proxy cannot listen on a loopback port", ex);
		}
		this.threads.execute(this::listen);
	}

	/**
	 * Returns the address at which the proxy listens.
	 * @return the base address
	 */
	public URI address() {
		return URI.create("http://127.0.0.1:" + this.listener.getLocalPort());
	}

	/**
	 * Sets the fault of the link, for open connections too; {@link LinkFault#RESET}
	 * resets them at once.
	 * @param newFault the fault
	 */
	public void setFault(LinkFault newFault) {
		this.fault = newFault;
		if (newFault == LinkFault.RESET) {
			this.sockets.forEach(FaultProxy::reset);
		}
	}

	/**
	 * Sets the range of the random delay of each chunk of bytes, in both directions.
	 * Delays are uniformly distributed and rounded down to whole milliseconds.
	 * @param maximum the end of the range, exclusive; zero for no delay
	 */
	public void setMaximumDelay(Duration maximum) {
		this.maximumDelay = maximum;
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new StandInException("the fault proxy cannot close its listening socket", ex);
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
			this.threads.execute(() -> forward(server, client, false));
			forward(client, server, true);
		}
		catch (IOException ex) {
			reset(client);
		}
	}

	private void forward(Socket from, Socket to, boolean towardsServer) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				delayChunk();
				if (isForwarded(towardsServer)) {
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

	private boolean isForwarded(boolean towardsServer) {
		return switch (this.fault) {
			case BLACK_HOLE -> false;
			case ANSWERS_DROPPED -> towardsServer;
			default -> true;
		};
	}

	private void delayChunk() {
		long maximumNanos = this.maximumDelay.toNanos();
		if (maximumNanos == 0) {
			return;
		}
		try {
			Thread.sleep(Duration.ofNanos(nextDelayNanos(maximumNanos)).toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized long nextDelayNanos(long maximumNanos) {
		return this.random.nextLong(maximumNanos);
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is already closed.
		}
	}

}
