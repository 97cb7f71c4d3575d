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
 * Named scripts of load and faults on Pemberton's example, sized by the capacity of the
 * bottleneck pool.
 *
 * @author the wagtailmux developers
 */
public enum Scenario {

	/** Half of capacity, no faults. */
	HALF_LOAD("0.5 times capacity", 0.5, 1),

	/** Nine tenths of capacity, no faults. */
	HIGH_LOAD("0.9 times capacity", 0.9, 1),

	/** 1.2 times capacity, and two large organisations burst to ten times their load. */
	OVERLOAD_WITH_BURSTS("1.2 times capacity, two large organisations burst tenfold", 1.2, 10),

	/** Twice the capacity. */
	DOUBLE_LOAD("2 times capacity", 2, 1),

	/** The generation stage becomes five times slower for a while. */
	SLOW_STAGE("0.7 times capacity, generation five times slower for a third of the time", 0.7, 1) {
		@Override
		void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(3));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setSlowdown(5));
			pause(duration.dividedBy(3));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setSlowdown(1));
		}
	},

	/** Endpoints restart without warning under load. */
	COLD_RESTARTS("0.7 times capacity, an endpoint restarts without warning every second", 0.7, 1) {
		@Override
		void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			List<StandInEndpoint> all = List.copyOf(deployment.endpoints().all().values());
			for (long second = 1; second < duration.toSeconds(); second++) {
				pause(Duration.ofSeconds(1));
				all.get(random.nextInt(all.size())).restart();
			}
		}
	},

	/** One pool fails as a whole. */
	POOL_FAILS("0.5 times capacity, every answer of generation is an error", 0.5, 1) {
		@Override
		void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(4));
			deployment.endpoints().pool("reader-voices").forEach((endpoint) -> endpoint.setFailing(true));
		}
	},

	/** Answers break off, cross, are malformed or errors. */
	BROKEN_ANSWERS("0.5 times capacity, one in about twenty calls shows a fault", 0.5, 1) {
		@Override
		void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			EndpointFault[] faults = EndpointFault.values();
			List<StandInEndpoint> all = List.copyOf(deployment.endpoints().all().values());
			long end = System.nanoTime() + duration.toNanos();
			while (System.nanoTime() < end) {
				pause(Duration.ofMillis(100));
				all.get(random.nextInt(all.size())).inject(faults[random.nextInt(faults.length)]);
			}
		}
	},

	/** The platform's store is down for most of the time. */
	STORE_OUTAGE("0.7 times capacity, the store down from a quarter of the time on", 0.7, 1) {
		@Override
		void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
			pause(duration.dividedBy(4));
			deployment.platform().setMode(PlatformMode.DOWN);
		}
	};

	private static final Duration TIMEOUT = Duration.ofMillis(1500);

	private static final Duration WARM_UP = Duration.ofSeconds(6);

	private final String description;

	private final double load;

	private final double burstFactor;

	Scenario(String description, double load, double burstFactor) {
		this.description = description;
		this.load = load;
		this.burstFactor = burstFactor;
	}

	/**
	 * Returns what the script does.
	 * @return a line
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the load that warms the endpoints up; its answers are not counted.
	 * @param capacity requests a second that the bottleneck pool bears
	 * @param seed makes the arrivals repeatable
	 * @return the plan
	 */
	LoadPlan warmUp(double capacity, long seed) {
		return new LoadPlan(seed + 1_000_000, WARM_UP, sources(capacity * 0.5, WARM_UP, 1));
	}

	/**
	 * Returns the load.
	 * @param capacity requests a second that the bottleneck pool bears
	 * @param duration how long requests arrive
	 * @param seed makes the arrivals repeatable
	 * @return the plan
	 */
	LoadPlan plan(double capacity, Duration duration, long seed) {
		return new LoadPlan(seed, duration, sources(capacity * this.load, duration, this.burstFactor));
	}

	/**
	 * Injects the faults while the load runs.
	 * @param deployment what is loaded
	 * @param duration how long requests arrive
	 * @param random repeatable random numbers
	 */
	void disturb(LocalDeployment deployment, Duration duration, SplittableRandom random) {
	}

	// Two large organisations send seven tenths of the requests, three small ones the
	// rest.
	private static List<LoadSource> sources(double perSecond, Duration duration, double burstFactor) {
		Duration burstStart = duration.dividedBy(3);
		Duration burstEnd = burstStart.plus(duration.dividedBy(10));
		double base = perSecond / (1 + 0.07 * (burstFactor - 1));
		return List.of(
				LoadSource.steady("perth-listeners", "edition", base * 0.35, TIMEOUT)
					.withBurst(burstFactor, burstStart, burstEnd),
				LoadSource.steady("bunbury-herald", "summary", base * 0.35, TIMEOUT)
					.withBurst(burstFactor, burstStart, burstEnd),
				LoadSource.steady("albany-advertiser", "listener-question", base * 0.1, TIMEOUT),
				LoadSource.steady("shire-notices", "summary", base * 0.1, TIMEOUT),
				LoadSource.steady("home-visitors", "renewal", base * 0.1, TIMEOUT).withKeys());
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
