package io.wagtailmux.daemon.settings;

/**
 * Address on which an interface of an instance listens.
 *
 * @param host the IP address to bind
 * @param port the TCP port; zero lets the system choose a free one
 * @author the wagtailmux developers
 */
public record ListenAddress(String host, int port) {

	private static final int MAXIMUM_PORT = 65535;

	/**
	 * Creates the address.
	 * @throws IllegalArgumentException if the port is out of range
	 */
	public ListenAddress {
		if (port < 0 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("port " + port + " is not in the range 0 to " + MAXIMUM_PORT);
		}
	}

}
