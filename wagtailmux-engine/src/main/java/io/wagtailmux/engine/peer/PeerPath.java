package io.wagtailmux.engine.peer;

/**
 * Requests that an instance handles for other instances.
 *
 * @author the wagtailmux developers
 */
public enum PeerPath {

	/** Executes a group of pieces. */
	PIECES("/pieces"),

	/** Releases results. */
	FREE("/free"),

	/** Returns what the instance knows of the tables that the store may lose. */
	FACTS("/facts"),

	/** Accepts what another instance has just learned of the ends of endpoints. */
	EVIDENCE("/evidence"),

	/** Accepts the counts of requests of another instance. */
	USAGE("/usage"),

	/** Passes the bytes of the connection on to an endpoint. */
	RELAY("/relay"),

	/** Heartbeat: returns the state of the instance. */
	PING("/ping");

	private final String path;

	PeerPath(String path) {
		this.path = path;
	}

	/**
	 * Returns the path of the request, whose method is POST.
	 * @return the whole request target, which has no query
	 */
	public String path() {
		return this.path;
	}

}
