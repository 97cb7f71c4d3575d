package io.wagtailmux.testbed.experiment;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.load.LoadPlan;
import io.wagtailmux.testbed.load.LoadSource;
import io.wagtailmux.testbed.standin.EndpointFault;
import io.wagtailmux.testbed.standin.PlatformMode;
import io.wagtailmux.testbed.standin.StandInEndpoint;

/**
 * Scenarios of load and faults for the example {@code PEMBERTON}. The load is relative to
 * the capacity of the bottleneck pool.
 *
 * @author the wagtailmux developers
 */
public enum Scenario {

	/** Half of capacity, no faults. */
	HALF_LOAD("0.5 times capacity", 0.5, 1),

	/** Nine tenths of capacity, no faults. */
	HIGH_LOAD("0.9 times capacity", 0.9, 1),

	/**
	 * 1.2 times capacity, with bursts of two large organisations at ten times their load.
	 */
	OVERLOAD_WITH_BURSTS("1.2 times capacity, two large organisations burst tenfold", 1.2, 10),

	/** Twice the capacity. */
	DOUBLE_LOAD("2 times capacity", 2, 1),

	/** The generation pool is five times slower for the middle third of the time. */
	SLOW_STAGE("0.7 times capacity, generation five times slower for a third of the time", 0.7, 1) {
		@Override
		void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(3));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setSlowdown(5));
			pause(duration.dividedBy(3));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setSlowdown(1));
		}
	},

	/** A random endpoint restarts each second, without being drained. */
	COLD_RESTARTS("0.7 times capacity, an endpoint restarts without warning every second", 0.7, 1) {
		@Override
		void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			List<StandInEndpoint> all = List.copyOf(deployment.endpoints().all().values());
			for (long second = 1; second < duration.toSeconds(); second++) {
				pause(Duration.ofSeconds(1));
				all.get(random.nextInt(all.size())).restart();
			}
		}
	},

	/**
	 * All endpoints of the generation pool respond with errors after a quarter of the
	 * time.
	 */
	POOL_FAILS("0.5 times capacity, every answer of generation is an error", 0.5, 1) {
		@Override
		void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(4));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setFailing(true));
		}
	},

	/**
	 * Ten random faults a second are injected into calls to random pools, such as
	 * incomplete or malformed answers and answers with the id of another call.
	 */
	BROKEN_ANSWERS("0.5 times capacity, one in about twenty calls shows a fault", 0.5, 1) {
		@Override
		void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			EndpointFault[] faults = EndpointFault.values();
			List<StandInEndpoint> all = List.copyOf(deployment.endpoints().all().values());
			long end = System.nanoTime() + duration.toNanos();
			while (System.nanoTime() < end) {
				pause(Duration.ofMillis(100));
				all.get(random.nextInt(all.size())).inject(faults[random.nextInt(faults.length)]);
			}
		}
	},

	/** The platform's store is down after a quarter of the time. */
	STORE_OUTAGE("0.7 times capacity, the store down from a quarter of the time on", 0.7, 1) {
		@Override
		void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(4));
			deployment.platform().setMode(PlatformMode.DOWN);
		}
	};

	private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);

	private static final Duration WARM_UP_DURATION = Duration.ofSeconds(6);

	private final String description;

	private final double load;

	private final double burstFactor;

	Scenario(String description, double load, double burstFactor) {
		this.description = description;
		this.load = load;
		this.burstFactor = burstFactor;
	}

	/**
	 * Returns a description of the load and the faults.
	 * @return one line of text
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the load that warms the endpoints up, at half of capacity. Its seed differs
	 * from that of the measured load, because the markers that identify requests contain
	 * the seed. Its answers are checked for violations but are not part of the other
	 * figures of the outcome.
	 * @param capacity the requests per second that the bottleneck pool can serve
	 * @param seed the seed of the random arrivals
	 * @return the plan
	 */
	LoadPlan warmUp(double capacity, long seed) {
		return new LoadPlan(seed + 1_000_000, WARM_UP_DURATION, sources(capacity * 0.5, WARM_UP_DURATION, 1));
	}

	/**
	 * Returns the load that is measured.
	 * @param capacity the requests per second that the bottleneck pool can serve
	 * @param duration how long requests are sent
	 * @param seed the seed of the random arrivals
	 * @return the plan
	 */
	LoadPlan plan(double capacity, Duration duration, long seed) {
		return new LoadPlan(seed, duration, sources(capacity * this.load, duration, this.burstFactor));
	}

	/**
	 * Injects the faults while the load runs, on a thread of its own that is interrupted
	 * when the load ends. Injects none by default.
	 * @param deployment the deployment under load
	 * @param duration how long requests are sent
	 * @param random the seeded generator for the choice of endpoints and faults
	 */
	void injectFaults(LocalDeployment deployment, Duration duration, SplittableRandom random) {
	}

	// Outside bursts, two large organisations send 70% of the requests and three small
	// ones the rest. The base rate is lowered to make up for the bursts, which last a
	// tenth of the time, so that the mean rate is the given one.
	private static List<LoadSource> sources(double requestsPerSecond, Duration duration, double burstFactor) {
		Duration burstStart = duration.dividedBy(3);
		Duration burstEnd = burstStart.plus(duration.dividedBy(10));
		double baseRate = requestsPerSecond / (1 + 0.07 * (burstFactor - 1));
		return List.of(
				LoadSource.steady("perth-listeners", "edition", baseRate * 0.35, REQUEST_TIMEOUT)
					.withBurst(burstFactor, burstStart, burstEnd),
				LoadSource.steady("bunbury-herald", "summary", baseRate * 0.35, REQUEST_TIMEOUT)
					.withBurst(burstFactor, burstStart, burstEnd),
				LoadSource.steady("albany-advertiser", "listener-question", baseRate * 0.1, REQUEST_TIMEOUT),
				LoadSource.steady("shire-notices", "summary", baseRate * 0.1, REQUEST_TIMEOUT),
				LoadSource.steady("home-visitors", "renewal", baseRate * 0.1, REQUEST_TIMEOUT).withKeys());
	}

	private static void pause(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
