package io.wagtailmux.decision.choice;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Policy by which one of several endpoints is chosen for a call. The first three are
 * baselines for comparison.
 *
 * @author the wagtailmux developers
 */
public enum ChoicePolicy {

	/** Chooses the endpoints in turn. */
	ROUND_ROBIN {
		@Override
		public Candidate choose(List<Candidate> candidates, long turn, RandomGenerator random) {
			return candidates.get((int) (turn % candidates.size()));
		}
	},

	/** Chooses an endpoint at random, each with the same probability. */
	RANDOM {
		@Override
		public Candidate choose(List<Candidate> candidates, long turn, RandomGenerator random) {
			return candidates.get(random.nextInt(candidates.size()));
		}
	},

	/** Chooses the endpoint with the fewest calls of this instance in flight. */
	LEAST_IN_FLIGHT {
		@Override
		public Candidate choose(List<Candidate> candidates, long turn, RandomGenerator random) {
			return least(candidates, turn, Comparator.comparingInt(Candidate::inFlight));
		}
	},

	/**
	 * Chooses the endpoint with the earliest expected finish. With more than 16
	 * candidates, compares only two of them, chosen at random.
	 */
	EARLIEST_FINISH {
		@Override
		public Candidate choose(List<Candidate> candidates, long turn, RandomGenerator random) {
			Comparator<Candidate> order = Comparator.comparing(Candidate::expectedFinish);
			if (candidates.size() <= LARGE_SET_ENDPOINTS) {
				return least(candidates, turn, order);
			}
			Candidate first = candidates.get(random.nextInt(candidates.size()));
			Candidate second = candidates.get(random.nextInt(candidates.size()));
			return (order.compare(first, second) <= 0) ? first : second;
		}
	};

	private static final int LARGE_SET_ENDPOINTS = 16;

	/**
	 * Chooses an endpoint.
	 * @param candidates at least one candidate, in a fixed order
	 * @param turn a counter that grows by one with each choice; modulo the number of
	 * candidates, it is the position that round robin chooses and the first position that
	 * policies with an order look at, so that ties rotate
	 * @param random a seeded source of random numbers
	 * @return one of the candidates
	 */
	public abstract Candidate choose(List<Candidate> candidates, long turn, RandomGenerator random);

	private static Candidate least(List<Candidate> candidates, long turn, Comparator<Candidate> order) {
		int start = (int) (turn % candidates.size());
		Candidate best = candidates.get(start);
		for (int offset = 1; offset < candidates.size(); offset++) {
			Candidate next = candidates.get((start + offset) % candidates.size());
			if (order.compare(next, best) < 0) {
				best = next;
			}
		}
		return best;
	}

}
