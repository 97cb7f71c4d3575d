package io.wagtailmux.daemon.settings;

/**
 * Where an interface listens.
 *
 * @param host an IP number
 * @param port a TCP port; zero lets the system choose one
 * @author the wagtailmux developers
 */
public record ListenAddress(String host, int port) {

	private static final int MAXIMUM_PORT = 65535;

	/**
	 * Creates the address.
	 */
	public ListenAddress {
		if (port < 0 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("port " + port + " is not in 0 to " + MAXIMUM_PORT);
		}
	}

}
