package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.StoreVersion;

/**
 * Instances, a store and a receiver of calls on simulated time, for the lease on duties
 * and the reports of usage. The receiver notes every break of the rules.
 */
final class DutySimulation {

	static final LeaseTiming LEASE = new LeaseTiming(Duration.ofSeconds(3), Duration.ofMillis(300));

	private static final UsageTiming USAGE = new UsageTiming(Duration.ofSeconds(5), Duration.ofSeconds(10));

	private static final OrganisationId ORGANISATION = new OrganisationId("listeners");

	private static final int STEP_MILLIS = 50;

	private final SplittableRandom random;

	private final List<Instance> instances = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			(first, second) -> Long.compare(first.atMillis(), second.atMillis()));

	private final Map<String, Stored> rows = new HashMap<>();

	private final Map<Long, UsageReport> accepted = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private final List<Call> calls = new ArrayList<>();

	private long nowMillis = 1_000_000;

	private long nextVersion = 1;

	private long era = 1;

	private boolean storeDown;

	private double lostAnswers;

	private double refusedCalls;

	DutySimulation(int instances, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < instances; i++) {
			this.instances.add(new Instance(new InstanceId("instance-" + i)));
		}
	}

	void run(Duration time) {
		long end = this.nowMillis + time.toMillis();
		while (this.nowMillis < end) {
			this.nowMillis += STEP_MILLIS;
			while (!this.events.isEmpty() && this.events.peek().atMillis() <= this.nowMillis) {
				this.events.poll().action().run();
			}
			this.instances.forEach(Instance::step);
		}
	}

	/** The instance that ranks first among those that run, answer and do not stop. */
	private Optional<Instance> first() {
		return this.instances.stream()
			.filter((instance) -> instance.running && !instance.has(Trouble.UNREACHABLE)
					&& !instance.has(Trouble.STOPPING))
			.findFirst();
	}

	Optional<Instance> holder() {
		return this.instances.stream()
			.filter((instance) -> instance.running && instance.lease.token().isPresent())
			.findFirst();
	}

	Instance instance(int index) {
		return this.instances.get(index);
	}

	int size() {
		return this.instances.size();
	}

	void storeDown(boolean down) {
		this.storeDown = down;
	}

	void lostAnswers(double share) {
		this.lostAnswers = share;
	}

	void refusedCalls(double share) {
		this.refusedCalls = share;
	}

	/** Brings back what the store held some time ago, as a new era. */
	void restore(Duration age) {
		long upTo = this.nowMillis - age.toMillis();
		this.era++;
		this.rows.replaceAll((key, row) -> row.asOf(upTo));
		this.rows.values().removeIf((row) -> row == null);
	}

	List<String> violations() {
		return this.violations;
	}

	int windowsReported() {
		return this.accepted.size();
	}

	SplittableRandom random() {
		return this.random;
	}

	private void later(long millis, Runnable action) {
		this.events.add(new Event(this.nowMillis + millis, action));
	}

	private long networkMillis() {
		return this.random.nextInt(1, 60);
	}

	/** Calls may take nearly as long as the margin of the lease allows. */
	private long slowNetworkMillis() {
		return this.random.nextInt(1, 450);
	}

	private void receive(Instance sender, FencingToken token, Optional<UsageReport> report) {
		for (int i = this.calls.size() - 1; i >= 0; i--) {
			Call earlier = this.calls.get(i);
			boolean sameMachine = earlier.machine().equals(sender.id);
			if (token.compareTo(earlier.token()) < 0) {
				this.violations.add(token + " after " + earlier.token() + " at " + this.nowMillis);
				break;
			}
			if (token.equals(earlier.token()) && !sameMachine) {
				this.violations.add("two holders with token " + token);
				break;
			}
			if (this.nowMillis - earlier.atMillis() < LEASE.length().toMillis() && sameMachine
					&& this.calls.subList(i, this.calls.size())
						.stream()
						.anyMatch((between) -> !between.machine().equals(sender.id))) {
				this.violations.add(sender.id + " and another in turn at " + this.nowMillis);
				break;
			}
		}
		this.calls.add(new Call(sender.id, token, this.nowMillis));
		report.ifPresent((content) -> {
			UsageReport known = this.accepted.putIfAbsent(content.window(), content);
			if (known != null && !known.equals(content)) {
				this.violations.add("two contents for window " + content.window());
			}
		});
	}

	/**
	 * One instance, which calls the store and the receiver.
	 */
	final class Instance {

		private final InstanceId id;

		private long incarnation;

		private DutyLease lease;

		private UsageCollection collection;

		private UsageReports reports;

		private boolean running;

		private final Set<Trouble> troubles = EnumSet.noneOf(Trouble.class);

		private long suspendedMillis;

		private Duration wallStep = Duration.ZERO;

		private boolean sending;

		Instance(InstanceId id) {
			this.id = id;
			start();
		}

		void start() {
			this.incarnation++;
			this.lease = new DutyLease(new DutyHolder(this.id, this.incarnation), LEASE);
			this.collection = new UsageCollection(USAGE);
			this.reports = new UsageReports(USAGE, this.collection);
			this.sending = false;
			this.troubles.remove(Trouble.STOPPING);
			this.running = true;
		}

		void begin(Trouble trouble) {
			this.troubles.add(trouble);
		}

		void end(Trouble trouble) {
			this.troubles.remove(trouble);
		}

		void toggle(Trouble trouble) {
			if (!this.troubles.remove(trouble)) {
				this.troubles.add(trouble);
			}
		}

		private boolean has(Trouble trouble) {
			return this.troubles.contains(trouble);
		}

		private boolean standsStill() {
			return has(Trouble.FROZEN) || has(Trouble.SUSPENDED);
		}

		void kill() {
			this.running = false;
		}

		void stepWall(Duration step) {
			this.wallStep = this.wallStep.plus(step);
		}

		private ClockReading clocks() {
			long elapsed = DutySimulation.this.nowMillis - this.suspendedMillis;
			return new ClockReading(Duration.ofMillis(elapsed),
					Duration.ofMillis(DutySimulation.this.nowMillis).plus(this.wallStep));
		}

		/** An action of this process; kept back while it stands still. */
		private void act(long incarnation, Runnable action) {
			if (!this.running || this.incarnation != incarnation) {
				return;
			}
			if (standsStill()) {
				later(STEP_MILLIS, () -> act(incarnation, action));
				return;
			}
			action.run();
		}

		void step() {
			if (has(Trouble.SUSPENDED)) {
				this.suspendedMillis += STEP_MILLIS;
			}
			if (!this.running || standsStill()) {
				return;
			}
			count();
			stepLease();
			stepReports();
		}

		/** Each instance counts differently, so that two contents would show. */
		private void count() {
			long window = USAGE.window(Duration.ofMillis(DutySimulation.this.nowMillis));
			this.collection.merge(new DutyHolder(this.id, this.incarnation), window,
					Map.of(ORGANISATION, DutySimulation.this.random.nextLong(1, 1000)));
			this.collection.onCurrentWindow(this.id, window);
		}

		private void stepLease() {
			boolean first = first().filter(this::equals).isPresent();
			LeaseWish wish = has(Trouble.STOPPING) ? LeaseWish.RELEASE : first ? LeaseWish.TAKE : LeaseWish.KEEP;
			LeaseStep step = this.lease.next(clocks(), wish, this.sending);
			long process = this.incarnation;
			if (step instanceof LeaseStep.Read) {
				read("lease",
						(row) -> act(process, () -> this.lease.onRead(row.map(Stored::lease), version(row),
								DutySimulation.this.era, clocks())),
						() -> act(process, () -> this.lease.onReadFailed(clocks())));
			}
			else if (step instanceof LeaseStep.Write write) {
				write("lease", write.row(), null, write.expected(),
						(version) -> act(process, () -> this.lease.onWritten(version, clocks())),
						(conflict) -> act(process, () -> this.lease.onWriteFailed(conflict, clocks())));
			}
		}

		private void stepReports() {
			if (this.lease.permit(clocks()).isEmpty()) {
				return;
			}
			FencingToken token = this.lease.token().orElseThrow();
			Duration now = Duration.ofMillis(DutySimulation.this.nowMillis);
			UsageStep step = this.reports.next(token, new TreeSet<>(List.of(this.id)), clocks().elapsed(), now);
			long process = this.incarnation;
			if (step instanceof UsageStep.Read) {
				readReports(process, token);
			}
			else if (step instanceof UsageStep.Fix fix) {
				write("usage-" + UsageReports.row(fix.report().window()), null, fix.report(), fix.expected(),
						(version) -> act(process, () -> this.reports.onFixed(fix.report(), version)),
						(conflict) -> act(process, () -> this.reports.onFixFailed(fix.report(), clocks().elapsed())));
			}
			else if (step instanceof UsageStep.Send send) {
				send(process, token, send.report());
			}
			else if (!this.sending) {
				order(process, token);
			}
		}

		/** A call without content, such as an order for capacity. */
		private void order(long process, FencingToken token) {
			this.sending = true;
			later(slowNetworkMillis(), () -> {
				receive(this, token, Optional.empty());
				later(networkMillis(), () -> act(process, () -> this.sending = false));
			});
		}

		private void send(long process, FencingToken token, UsageReport report) {
			this.sending = true;
			boolean refused = DutySimulation.this.random.nextDouble() < DutySimulation.this.refusedCalls;
			boolean lost = DutySimulation.this.random.nextDouble() < DutySimulation.this.lostAnswers;
			later(slowNetworkMillis(), () -> {
				if (!refused) {
					receive(this, token, Optional.of(report));
				}
				later(lost ? 2000 : networkMillis(), () -> act(process, () -> {
					this.sending = false;
					if (refused || lost) {
						this.reports.onFailed(clocks().elapsed());
						return;
					}
					this.reports.onDelivered(report);
				}));
			});
		}

		private void readReports(long process, FencingToken token) {
			if (unanswered()) {
				later(500, () -> act(process, () -> this.reports.onFailed(clocks().elapsed())));
				return;
			}
			later(networkMillis(), () -> {
				List<FixedReport> fixed = DutySimulation.this.rows.entrySet()
					.stream()
					.filter((row) -> row.getKey().startsWith("usage-"))
					.map((row) -> new FixedReport(row.getValue().report(), row.getValue().version()))
					.toList();
				long storeEra = DutySimulation.this.era;
				later(networkMillis(), () -> act(process, () -> this.reports.onRead(token, fixed, storeEra,
						Duration.ofMillis(DutySimulation.this.nowMillis))));
			});
		}

		private boolean unanswered() {
			return DutySimulation.this.storeDown || has(Trouble.CUT_FROM_STORE);
		}

		private StoreVersion version(Optional<Stored> row) {
			return row.map(Stored::version).orElse(StoreVersion.NONE);
		}

		private void read(String key, Consumer<Optional<Stored>> onRow, Runnable onFailure) {
			if (unanswered()) {
				later(500, onFailure);
				return;
			}
			later(networkMillis(), () -> {
				Optional<Stored> row = Optional.ofNullable(DutySimulation.this.rows.get(key));
				boolean lost = DutySimulation.this.random.nextDouble() < DutySimulation.this.lostAnswers;
				later(networkMillis(), lost ? onFailure : () -> onRow.accept(row));
			});
		}

		private void write(String key, DutyLeaseRow leaseRow, UsageReport report, StoreVersion expected,
				Consumer<StoreVersion> onVersion, Consumer<Boolean> onFailure) {
			boolean lost = unanswered() || DutySimulation.this.random.nextDouble() < DutySimulation.this.lostAnswers;
			boolean reaches = !unanswered();
			// A call without an answer may be performed seconds later.
			long delay = lost ? DutySimulation.this.random.nextInt(1, 4000) : networkMillis();
			if (lost) {
				later(2000, () -> onFailure.accept(false));
			}
			if (!reaches) {
				return;
			}
			later(delay, () -> {
				Stored current = DutySimulation.this.rows.get(key);
				boolean met = version(Optional.ofNullable(current)).equals(expected);
				StoreVersion version = new StoreVersion(DutySimulation.this.era, DutySimulation.this.nextVersion++);
				if (met) {
					DutySimulation.this.rows.put(key,
							new Stored(leaseRow, report, version, DutySimulation.this.nowMillis, current));
				}
				if (!lost) {
					later(networkMillis(), () -> {
						if (met) {
							onVersion.accept(version);
						}
						else {
							onFailure.accept(true);
						}
					});
				}
			});
		}

	}

	/** What is wrong with an instance. */
	enum Trouble {

		/** Stands still; its clocks go on. */
		FROZEN,

		/** Stands still, its monotonic clock as well. */
		SUSPENDED,

		/** Other instances do not hear it. */
		UNREACHABLE,

		/** Its calls do not reach the store. */
		CUT_FROM_STORE,

		/** Is about to stop. */
		STOPPING

	}

	/** Row of the store. */
	private record Stored(DutyLeaseRow lease, UsageReport report, StoreVersion version, long atMillis, Stored before) {

		Stored asOf(long millis) {
			Stored row = this;
			while (row != null && row.atMillis > millis) {
				row = row.before;
			}
			return row;
		}

	}

	/** Call that the receiver got. */
	private record Call(InstanceId machine, FencingToken token, long atMillis) {

	}

	/** Action at a time. */
	private record Event(long atMillis, Runnable action) {

	}

}
