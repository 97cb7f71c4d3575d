package io.wagtailmux.model.serving;

/**
 * Kinds of requests, which differ in whether a request may be sent again.
 *
 * @author the wagtailmux developers
 */
public enum RequestKind {

	/** Requests that may run any number of times with the same effect as once. */
	IDEMPOTENT {

		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}

	},

	/** Requests that may run at most once for each attempt of the caller. */
	NON_IDEMPOTENT {

		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}

	},

	/** Requests whose response is a stream of events. */
	STREAMING {

		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}

	};

	/**
	 * Returns whether a request may be sent to another endpoint after one that may have
	 * run it.
	 * @param resumable whether streams of the route may be resumed; only used for streams
	 * @return whether the request may run again
	 */
	public abstract boolean repeatable(boolean resumable);

}
