package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Tells all other instances at once that an endpoint has ended: the request that ended it
 * comes again sooner than the next heartbeat. What is lost is in the heartbeats, too.
 * Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
public final class EvidenceSender {

	private static final Logger LOG = LoggerFactory.getLogger(EvidenceSender.class);

	/** Bounds the messages while many endpoints end. */
	private static final Duration MINIMUM_INTERVAL = Duration.ofMillis(50);

	private static final Duration TIMEOUT = Duration.ofMillis(700);

	private final EngineContext context;

	private final Supplier<PingMessage> message;

	private Duration lastSentAt = Duration.ofDays(-1);

	private boolean scheduled;

	/**
	 * Creates the sender.
	 * @param context the shared objects of the engine
	 * @param message returns what this instance knows
	 */
	public EvidenceSender(EngineContext context, Supplier<PingMessage> message) {
		this.context = context;
		this.message = message;
	}

	/**
	 * Sends what this instance knows to all others, now or after a short pause since the
	 * last time.
	 */
	public void send() {
		if (this.scheduled) {
			return;
		}
		Duration wait = this.lastSentAt.plus(MINIMUM_INTERVAL).minus(this.context.time().elapsed());
		if (wait.compareTo(Duration.ZERO) <= 0) {
			sendNow();
			return;
		}
		this.scheduled = true;
		this.context.loop().schedule("evidence to other instances", wait, this::sendNow);
	}

	private void sendNow() {
		this.scheduled = false;
		this.lastSentAt = this.context.time().elapsed();
		byte[] body = ThriftCodec.encodeToBytes(this.message.get());
		for (InstancePeer peer : this.context.state().view().peers()) {
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.EVIDENCE.path())
				.body(Unpooled.wrappedBuffer(body))
				.timeout(TIMEOUT)
				.ownConnection()
				.build();
			PeerResponseListener call = new PeerResponseListener((answer) -> {
			}, (why) -> LOG.atDebug().addKeyValue("instance", peer.id()).addKeyValue("why", why).log("not told"));
			this.context.client().send(new HttpDestination(peer.address()), request, call);
		}
	}

}
