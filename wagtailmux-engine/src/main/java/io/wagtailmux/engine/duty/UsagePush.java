package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.duty.DutyHolder;
import io.wagtailmux.decision.duty.UsageTiming;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.peer.PeerPath;
import io.wagtailmux.engine.peer.PeerResponseListener;
import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.peer.wire.UsageConfirmationMessage;
import io.wagtailmux.peer.wire.UsagePushMessage;
import io.wagtailmux.peer.wire.WindowUsageMessage;

/**
 * Sends this instance's counts to the instances that collect them. Windows that have
 * ended are not sent again to an instance that has confirmed them.
 *
 * @author the wagtailmux developers
 */
final class UsagePush {

	private static final Logger LOG = LoggerFactory.getLogger(UsagePush.class);

	private static final Duration TIMEOUT = Duration.ofMillis(900);

	/** One instance gets no more messages in a second than this. */
	private static final int MESSAGES_PER_SECOND = 50;

	private static final int PUSHES_PER_WINDOW = 4;

	private final DutyHolder self;

	private final HttpClient client;

	private final Map<InstanceId, Confirmed> confirmed = new HashMap<>();

	UsagePush(DutyHolder self, HttpClient client) {
		this.self = self;
		this.client = client;
	}

	/**
	 * Returns the time between two messages to one instance. The more instances there
	 * are, the less of the counts is lost with one of them, so that messages may be
	 * rarer.
	 * @param instances the number of instances
	 * @param timing the windows
	 * @return between a quarter of a window and a window
	 */
	static Duration interval(int instances, UsageTiming timing) {
		Duration shortest = timing.length().dividedBy(PUSHES_PER_WINDOW);
		Duration byNumber = Duration.ofSeconds(1).multipliedBy(instances).dividedBy(MESSAGES_PER_SECOND);
		Duration interval = (byNumber.compareTo(shortest) > 0) ? byNumber : shortest;
		return (interval.compareTo(timing.length()) < 0) ? interval : timing.length();
	}

	/**
	 * Sends the counts that an instance has not confirmed.
	 * @param target the instance
	 * @param counts the counts
	 * @param onConfirmed called on the traffic thread when the target has them
	 */
	void send(InstancePeer target, OwnCounts counts, Consumer<UsageConfirmationMessage> onConfirmed) {
		List<WindowUsageMessage> windows = counts.usage()
			.tailMap(firstUnconfirmed(target.id()))
			.entrySet()
			.stream()
			.map((entry) -> DutyMessages.window(entry.getKey(), entry.getValue()))
			.toList();
		UsagePushMessage message = new UsagePushMessage(this.self.instance().value(), this.self.incarnation(),
				counts.currentWindow(), windows);
		message.setDemands(DutyMessages.messages(counts.demands()));
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.USAGE.path())
			.body(ThriftCodec.encode(message))
			.timeout(TIMEOUT)
			.ownConnection()
			.build();
		PeerResponseListener listener = new PeerResponseListener(
				(body) -> onConfirmed.accept(ThriftCodec.decode(body, new UsageConfirmationMessage())),
				// The counts are cumulative and sent again with the next message.
				(why) -> LOG.atDebug()
					.addKeyValue("target", target.id())
					.addKeyValue("why", why)
					.log("usage not sent"));
		this.client.loop()
			.execute("usage to an instance",
					() -> this.client.send(new HttpDestination(target.address()), request, listener));
	}

	private long firstUnconfirmed(InstanceId target) {
		return this.confirmed.getOrDefault(target, Confirmed.NOTHING).before();
	}

	/**
	 * Notes that an instance has all counts of the windows before one. Another
	 * incarnation than the one that confirmed before has nothing of what that one had.
	 * @param target the instance
	 * @param incarnation its incarnation
	 * @param currentWindow the window that was open when they were sent
	 */
	void confirm(InstanceId target, long incarnation, long currentWindow) {
		Confirmed known = this.confirmed.getOrDefault(target, Confirmed.NOTHING);
		boolean all = known.equals(Confirmed.NOTHING) || known.incarnation() == incarnation;
		this.confirmed.put(target, all ? new Confirmed(incarnation, currentWindow) : Confirmed.NOTHING);
	}

	/**
	 * Forgets what instances have that are not sent to any more.
	 * @param targets the instances that are sent to
	 */
	void retain(List<InstanceId> targets) {
		this.confirmed.keySet().retainAll(targets);
	}

	/**
	 * What an instance has confirmed.
	 *
	 * @param incarnation its incarnation
	 * @param before the first window of which it may lack counts
	 */
	private record Confirmed(long incarnation, long before) {

		private static final Confirmed NOTHING = new Confirmed(0, 0);

	}

}
