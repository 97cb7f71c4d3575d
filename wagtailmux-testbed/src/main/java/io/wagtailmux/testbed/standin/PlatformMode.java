package io.wagtailmux.testbed.standin;

/**
 * The operating modes of a stand-in of the platform.
 *
 * @author the wagtailmux developers
 */
public enum PlatformMode {

	/** Processes and answers each request. */
	UP(true, true),

	/** Closes each connection without processing the request. */
	DOWN(false, false),

	/** Processes each request and closes the connection without answering it. */
	LOSES_ANSWERS(true, false);

	private final boolean processesRequests;

	private final boolean sendsResponses;

	PlatformMode(boolean processesRequests, boolean sendsResponses) {
		this.processesRequests = processesRequests;
		this.sendsResponses = sendsResponses;
	}

	boolean processesRequests() {
		return this.processesRequests;
	}

	boolean sendsResponses() {
		return this.sendsResponses;
	}

}
