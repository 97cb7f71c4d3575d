package io.wagtailmux.testbed.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.peer.wire.DigestMessage;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.load.LoadGenerator;
import io.wagtailmux.testbed.load.LoadPlan;
import io.wagtailmux.testbed.load.LoadSource;
import io.wagtailmux.testbed.standin.StandInException;

/**
 * Measures how the cost of the control plane grows with the number of instances:
 * processor time of the control and request threads, reads and transactions of the table,
 * and heap. The load per instance is constant. Use an object for one measurement only.
 *
 * @author the wagtailmux developers
 */
final class ControlSlopes {

	private static final Duration LOAD_DURATION = Duration.ofSeconds(8);

	private static final double REQUESTS_PER_SECOND_PER_INSTANCE = 4;

	// The prefix pool- stands for the request threads of instances. It also matches the
	// threads of the load generator, which have the same default names.
	private static final List<String> CONTROL_THREAD_PREFIXES = List.of("control", "platform-calls", "peer-call",
			"peer-server", "endpoint-probe", "pool-");

	private final List<SlopePoint> processor = new ArrayList<>();

	private final List<SlopePoint> reads = new ArrayList<>();

	private final List<SlopePoint> writes = new ArrayList<>();

	private final List<SlopePoint> heap = new ArrayList<>();

	/**
	 * Runs a deployment for each number of instances, one after the other.
	 * @return the slopes of processor time, reads, transactions and heap
	 */
	List<Slope> measure() {
		for (int instances : new int[] { 3, 6, 12, 24 }) {
			measure(instances);
		}
		return List.of(
				Slope.fit("control, processor time of all instances", "instances", "percent of a core", this.processor),
				Slope.fit("table, reads of all instances", "instances", "a second", this.reads),
				Slope.fit("table, transactions of all instances", "instances", "a second", this.writes),
				Slope.fit("heap of all instances and stand-ins", "instances", "megabytes", this.heap));
	}

	/**
	 * Returns the sizes of the messages that instances exchange.
	 * @return the sizes of a digest, a share report and a grant with example values
	 */
	static List<MessageSize> messageSizes() {
		String bootId = "00000000-0000-0000-0000-000000000000";
		return List.of(
				new MessageSize("digest",
						serializedBytes(
								new DigestMessage("entry-100", "perth-a", "10.0.100.100:8100", 1_000_000, false))),
				new MessageSize("share report",
						serializedBytes(new ShareReportMessage("reader-voices-100", bootId, 4, 4, 8, 10, 0))),
				new MessageSize("share grant",
						serializedBytes(new ShareGrantMessage("reader-voices-100", bootId, true, 4, 3000))));
	}

	private void measure(int instances) {
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), instances,
				DispatchPolicy.STANDARD)) {
			LoadGenerator generator = new LoadGenerator(deployment::callerAddresses);
			double perSecond = REQUESTS_PER_SECOND_PER_INSTANCE * instances;
			LoadPlan plan = new LoadPlan(instances, LOAD_DURATION,
					List.of(LoadSource.steady("perth-listeners", "summary", perSecond, Duration.ofSeconds(5))));
			generator.run(plan);
			long processorBefore = controlCpuNanos();
			long readsBefore = deployment.platform().reads();
			long writesBefore = deployment.platform().writes();
			long start = System.nanoTime();
			generator.run(plan);
			double seconds = (System.nanoTime() - start) / 1e9;
			this.processor.add(new SlopePoint(instances, (controlCpuNanos() - processorBefore) / 1e7 / seconds));
			this.reads.add(new SlopePoint(instances, (deployment.platform().reads() - readsBefore) / seconds));
			this.writes.add(new SlopePoint(instances, (deployment.platform().writes() - writesBefore) / seconds));
			this.heap.add(new SlopePoint(instances, usedHeapMegabytes()));
		}
	}

	// Adds up the processor time in nanoseconds of the live threads whose names start
	// with a prefix of the list.
	private static long controlCpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long nanos = 0;
		for (long id : threads.getAllThreadIds()) {
			var info = threads.getThreadInfo(id);
			boolean control = info != null
					&& CONTROL_THREAD_PREFIXES.stream().anyMatch(info.getThreadName()::startsWith);
			nanos += control ? Math.max(0, threads.getThreadCpuTime(id)) : 0;
		}
		return nanos;
	}

	private static double usedHeapMegabytes() {
		System.gc();
		return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
	}

	private static int serializedBytes(TBase<?, ?> message) {
		try {
			return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
		}
		catch (TException ex) {
			throw new StandInException("cannot serialize a message", ex);
		}
	}

}
