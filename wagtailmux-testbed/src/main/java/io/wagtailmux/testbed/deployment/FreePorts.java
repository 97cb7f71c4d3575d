package io.wagtailmux.testbed.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

import io.wagtailmux.testbed.standin.StandInException;

/**
 * Finds free TCP ports on the loopback address. No port is returned twice until all of
 * the range have been tried. The ports lie outside the range from which the operating
 * system assigns ports to outgoing connections (on Linux from 32768 on by default). Safe
 * for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class FreePorts {

	private static final int FIRST_PORT = 15_000;

	private static final int PORT_COUNT = 15_000;

	// Processes start at different offsets, so that they rarely try the same port.
	private static final AtomicInteger NEXT_OFFSET = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * 101 % PORT_COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a port that nothing listens on. The port is not reserved.
	 * @return the port
	 * @throws StandInException if there is no free port in the range
	 */
	public static int next() {
		for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
			int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
			if (isFree(port)) {
				return port;
			}
		}
		throw new StandInException("all ports of the test bed's range are in use", null);
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
