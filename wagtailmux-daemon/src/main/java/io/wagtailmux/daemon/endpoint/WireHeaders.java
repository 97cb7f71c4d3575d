package io.wagtailmux.daemon.endpoint;

/**
 * Names and values of the HTTP headers that instances and endpoints exchange.
 *
 * @author the wagtailmux developers
 */
public final class WireHeaders {

	/** The id of the call; the response repeats it. */
	public static final String CALL_ID = "Wagtailmux-Call-Id";

	/** The time remaining until the deadline of the call, in milliseconds. */
	public static final String DEADLINE_MILLISECONDS = "Wagtailmux-Deadline-Ms";

	/** The incarnation of the endpoint's process. */
	public static final String BOOT_ID = "Wagtailmux-Boot-Id";

	/** The number of calls in flight at the endpoint, from all instances. */
	public static final String LOAD = "Wagtailmux-Load";

	/** Whether a refused call ran; {@link #NOT_RUN} proves that it did not. */
	public static final String EXECUTION = "Wagtailmux-Execution";

	/** Value of {@link #EXECUTION}: the call did not run and may be repeated safely. */
	public static final String NOT_RUN = "not-run";

	/** The number of the last token received; the stream resumes after it. */
	public static final String LAST_EVENT_ID = "Last-Event-ID";

	private WireHeaders() {
	}

}
