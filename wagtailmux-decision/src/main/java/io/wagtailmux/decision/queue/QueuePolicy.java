package io.wagtailmux.decision.queue;

/**
 * Order in which waiting tickets are served. The first is a baseline for comparison.
 *
 * @author the wagtailmux developers
 */
public enum QueuePolicy {

	/** First in, first out over all organisations. */
	FIFO {
		@Override
		public WaitingQueue create() {
			return new FifoQueue();
		}
	},

	/** Deficit round robin over organisations, earliest deadline first within each. */
	FAIR {
		@Override
		public WaitingQueue create() {
			return new DeficitRoundRobinQueue(false);
		}
	},

	/**
	 * As {@link #FAIR}, but an organisation that was idle is served for one quantum
	 * before the others.
	 */
	FAIR_SPARSE_FIRST {
		@Override
		public WaitingQueue create() {
			return new DeficitRoundRobinQueue(true);
		}
	};

	/**
	 * Creates an empty queue with this policy.
	 * @return a new queue
	 */
	public abstract WaitingQueue create();

}
