package io.wagtailmux.engine.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.reach.RelayChoice;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.EndpointTarget;
import io.wagtailmux.engine.http.RelayListener;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.model.InstanceId;

/**
 * Opening of one connection to an endpoint through another instance. Instances are asked
 * one after the other until one accepts, or says that the endpoint cannot be reached from
 * there either. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class RelayOpening {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private static final int MAXIMUM_INSTANCES = 4;

	/** Longer than an instance takes to find that an endpoint does not answer. */
	private static final Duration TIMEOUT = Duration.ofMillis(900);

	private final EngineContext context;

	private final EndpointTarget target;

	private final BiFunction<EndpointTarget, Set<InstanceId>, Optional<InstancePeer>> relays;

	private final RelayChoice choice;

	private final RelayListener listener;

	private final Set<InstanceId> tried = new HashSet<>();

	/**
	 * Creates an opening that has not begun.
	 * @param context the shared objects of the engine
	 * @param target the endpoint
	 * @param relays chooses an instance other than those that were tried
	 * @param choice is told of refusals and of the number of open connections
	 * @param listener is told of the outcome
	 */
	RelayOpening(EngineContext context, EndpointTarget target,
			BiFunction<EndpointTarget, Set<InstanceId>, Optional<InstancePeer>> relays, RelayChoice choice,
			RelayListener listener) {
		this.context = context;
		this.target = target;
		this.relays = relays;
		this.choice = choice;
		this.listener = listener;
	}

	/**
	 * Asks the next instance.
	 */
	void openNext() {
		Optional<InstancePeer> relay = (this.tried.size() < MAXIMUM_INSTANCES)
				? this.relays.apply(this.target, this.tried) : Optional.empty();
		if (relay.isEmpty()) {
			this.listener.onFailed("no other instance reaches the endpoint, asked " + this.tried.size());
			return;
		}
		this.tried.add(relay.get().id());
		new Attempt(relay.get()).start();
	}

	/**
	 * Request to one instance.
	 */
	private final class Attempt implements RelayHandshake.Listener {

		private final InstancePeer relay;

		private Channel channel;

		private Future<?> timer;

		private boolean ended;

		Attempt(InstancePeer relay) {
			this.relay = relay;
		}

		void start() {
			RelayOpening opening = RelayOpening.this;
			RelayHandshake handshake = new RelayHandshake(opening.target, this);
			ChannelFuture connecting = opening.context.client().open(this.relay.address(), new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel opened) {
					handshake.addTo(opened);
				}

			});
			this.channel = connecting.channel();
			this.timer = opening.context.loop()
				.schedule("timeout of a relay", TIMEOUT, () -> onRefused("no answer in time"));
			connecting.addListener((ignored) -> {
				if (!connecting.isSuccess()) {
					onRefused(String.valueOf(connecting.cause().getMessage()));
				}
			});
		}

		@Override
		public void onAccepted() {
			if (!end()) {
				return;
			}
			RelayOpening opening = RelayOpening.this;
			opening.choice.recordOpened(this.relay.id());
			this.channel.closeFuture().addListener((closed) -> opening.choice.recordClosed(this.relay.id()));
			opening.context.metrics().registry().counter("relayed_connections").inc();
			opening.listener.onOpened(this.channel);
		}

		@Override
		public void onNotReached(String why) {
			if (end()) {
				this.channel.close();
				RelayOpening.this.listener.onFailed(why + ", through " + this.relay.id());
			}
		}

		@Override
		public void onRefused(String why) {
			if (!end()) {
				return;
			}
			this.channel.close();
			RelayOpening opening = RelayOpening.this;
			LOG.atInfo()
				.addKeyValue("instance", this.relay.id())
				.addKeyValue("endpoint", opening.target.endpoint())
				.addKeyValue("why", why)
				.log("relay refused");
			opening.choice.recordRefused(this.relay.id(), opening.context.time().elapsed());
			opening.openNext();
		}

		private boolean end() {
			boolean first = !this.ended;
			this.ended = true;
			if (this.timer != null) {
				this.timer.cancel(false);
			}
			return first;
		}

	}

}
