package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.peer.PeerPath;
import io.wagtailmux.engine.peer.PeerResponseListener;
import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.peer.wire.KnownTablesMessage;

/**
 * Asks other instances what they know, before this instance reads the store for the first
 * time: the store may have been restored from a copy that lacks what they have confirmed.
 * Confined to the control thread.
 *
 * @author the wagtailmux developers
 */
final class PeerFacts {

	private static final Logger LOG = LoggerFactory.getLogger(PeerFacts.class);

	/** Bounds how long instances that do not answer delay a start. */
	private static final Duration TIMEOUT = Duration.ofMillis(700);

	/** Number of instances that are asked, of which one has to answer. */
	private static final int MAXIMUM_ASKED = 8;

	private final HttpClient client;

	private final Executor control;

	private int unanswered;

	private boolean ended;

	PeerFacts(HttpClient client, Executor control) {
		this.client = client;
		this.control = control;
	}

	/**
	 * Asks other instances at the same time. Must be called once.
	 * @param others the addresses of the instances
	 * @param onFacts called with the first answer that is not empty
	 * @param whenEnded called once, after {@code onFacts} or when no instance has
	 * answered
	 */
	void ask(List<HttpDestination> others, Consumer<KnownTablesMessage> onFacts, Runnable whenEnded) {
		List<HttpDestination> asked = others.subList(0, Math.min(others.size(), MAXIMUM_ASKED));
		this.unanswered = asked.size();
		if (asked.isEmpty()) {
			LOG.atInfo().log("no other instance is known; starting from the store alone");
			whenEnded.run();
			return;
		}
		for (HttpDestination destination : asked) {
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.FACTS.path())
				.timeout(TIMEOUT)
				.build();
			PeerResponseListener call = new PeerResponseListener((body) -> {
				KnownTablesMessage answer = ThriftCodec.decode(body, new KnownTablesMessage());
				this.control.execute(() -> onAnswer(destination, answer, onFacts, whenEnded));
			}, (why) -> this.control
				.execute(() -> onAnswer(destination, new KnownTablesMessage(List.of()), onFacts, whenEnded)));
			this.client.loop().execute("question to an instance", () -> this.client.send(destination, request, call));
		}
	}

	private void onAnswer(HttpDestination destination, KnownTablesMessage answer, Consumer<KnownTablesMessage> onFacts,
			Runnable whenEnded) {
		this.unanswered--;
		boolean empty = answer.getTables().isEmpty();
		if (this.ended || empty && this.unanswered > 0) {
			return;
		}
		this.ended = true;
		if (empty) {
			LOG.atInfo().log("no other instance knows anything; starting from the store alone");
		}
		else {
			LOG.atInfo().addKeyValue("instance", destination.address()).log("facts of another instance adopted");
			onFacts.accept(answer);
		}
		whenEnded.run();
	}

}
