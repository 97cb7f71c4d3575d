package io.wagtailmux.testbed.standin;

/**
 * Faults that a stand-in of an endpoint can inject into one call.
 *
 * @author the wagtailmux developers
 */
public enum EndpointFault {

	/** Executes the call and responds with an error. */
	FAIL_AFTER_RUN(true),

	/** Refuses the call and states in the response that it was not executed. */
	REFUSE_NOT_RUN(false),

	/** Closes the connection before the call is executed. */
	BREAK_BEFORE_RUN(false),

	/** Closes the connection in the middle of the response. */
	BREAK_MID_ANSWER(true),

	/** Responds with the id of another call in the header. */
	CROSS_ANSWER(true),

	/** Responds with a body, or a streamed event, that is not valid JSON. */
	MALFORMED_ANSWER(true),

	/**
	 * Ends a stream early, without the final event. Calls not streamed are unaffected.
	 */
	SHORT_STREAM(true);

	private final boolean runs;

	EndpointFault(boolean runs) {
		this.runs = runs;
	}

	/**
	 * Returns whether the call is executed in spite of the fault.
	 * @return whether it is executed
	 */
	public boolean runs() {
		return this.runs;
	}

}
