package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.wagtailmux.decision.poison.AnswerWatch;
import io.wagtailmux.decision.poison.EndpointEnd;
import io.wagtailmux.decision.poison.EndpointRun;
import io.wagtailmux.decision.poison.PoisonDetector;
import io.wagtailmux.decision.poison.Refusal;
import io.wagtailmux.decision.poison.RefusalState;
import io.wagtailmux.engine.port.ProtocolErrorCode;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.peer.wire.AnswerWatchMessage;
import io.wagtailmux.peer.wire.EndpointEndMessage;
import io.wagtailmux.peer.wire.PartSuccessMessage;
import io.wagtailmux.peer.wire.PoisonEvidenceMessage;
import io.wagtailmux.peer.wire.RefusalMessage;

/**
 * Converts what instances know of requests and prompt parts that crash endpoints to
 * messages and back. Times are sent as ages, since the clocks of instances differ.
 *
 * @author the wagtailmux developers
 */
public final class PoisonMessages {

	private PoisonMessages() {
	}

	/**
	 * Encodes what this instance knows and others may not.
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @return a message for each pool with recent ends or with refusals
	 */
	public static List<PoisonEvidenceMessage> messages(ServingState state, Duration now) {
		List<PoisonEvidenceMessage> messages = new ArrayList<>();
		for (PoolTraffic pool : state.pools()) {
			PoisonDetector detector = pool.poison();
			List<EndpointEnd> ends = detector.reportedEnds(now);
			List<Refusal> refusals = detector.refusals();
			if (ends.isEmpty() && refusals.isEmpty()) {
				continue;
			}
			detector.update(now);
			PoisonEvidenceMessage message = new PoisonEvidenceMessage(pool.pool().id().value(),
					ends.stream().map((end) -> message(end, now)).toList(),
					successes(detector.reportedSuccesses(now), now),
					refusals.stream().map((refusal) -> message(pool.pool().id(), refusal, now)).toList());
			detector.answerWatch().ifPresent((watch) -> message.setAnswerWatch(message(watch, now)));
			messages.add(message);
		}
		return messages;
	}

	/**
	 * Adopts what another instance knows.
	 * @param messages the messages of the instance
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @throws ProtocolException if a message has an invalid id or state
	 */
	public static void merge(List<PoisonEvidenceMessage> messages, ServingState state, Duration now) {
		for (PoisonEvidenceMessage message : messages) {
			PoolId pool = new PoolId(message.getPool());
			state.pool(pool).ifPresent((traffic) -> mergeEvidence(message, traffic.poison(), now));
			message.getRefusals().forEach((refusal) -> state.mergeRefusal(pool, refusal(refusal, now)));
		}
	}

	/**
	 * Encodes a refusal.
	 * @param pool the pool
	 * @param refusal the refusal
	 * @param now the elapsed time
	 * @return the message
	 */
	public static RefusalMessage message(PoolId pool, Refusal refusal, Duration now) {
		return new RefusalMessage(pool.value(), refusal.parts().stream().sorted().toList(), refusal.state().name(),
				refusal.revision(), refusal.relapses(), MessageAge.of(refusal.since(), now),
				refusal.versions().stream().map(VersionId::value).sorted().toList(), refusal.toldBy());
	}

	/**
	 * Decodes a refusal.
	 * @param message the message
	 * @param now the elapsed time
	 * @return the refusal
	 * @throws ProtocolException if the message has an unknown state
	 */
	public static Refusal refusal(RefusalMessage message, Duration now) {
		return new Refusal(new HashSet<>(message.getParts()), state(message.getState()), message.getRevision(),
				message.getRelapses(), MessageAge.time(message.getAgeMicroseconds(), now),
				message.getVersions().stream().map(VersionId::new).collect(Collectors.toSet()), message.getToldBy());
	}

	private static void mergeEvidence(PoisonEvidenceMessage message, PoisonDetector detector, Duration now) {
		message.getSuccesses()
			.forEach((success) -> detector.recordReportedSuccess(success.getPart(),
					MessageAge.time(success.getAgeMicroseconds(), now), now));
		if (message.isSetAnswerWatch()) {
			detector.recordReportedWatch(watch(message.getAnswerWatch(), now));
		}
		message.getEnds().forEach((end) -> detector.recordEnd(end(end, now), now));
	}

	private static AnswerWatchMessage message(AnswerWatch watch, Duration now) {
		return new AnswerWatchMessage(MessageAge.of(watch.since(), now),
				watch.answerTime().dividedBy(ChronoUnit.MICROS.getDuration()));
	}

	private static AnswerWatch watch(AnswerWatchMessage message, Duration now) {
		return new AnswerWatch(MessageAge.time(message.getSinceAgeMicroseconds(), now),
				Duration.of(message.getAnswerTimeMicroseconds(), ChronoUnit.MICROS));
	}

	private static EndpointEndMessage message(EndpointEnd end, Duration now) {
		EndpointEndMessage message = new EndpointEndMessage(end.run().endpoint().value(), end.run().startedAtMillis(),
				end.version().value(), MessageAge.of(end.at(), now), List.copyOf(end.suspects()));
		Map<String, Long> sentAges = new HashMap<>();
		end.sentAt().forEach((request, at) -> sentAges.put(request, MessageAge.of(at, now)));
		return message.setSentAgeMicroseconds(sentAges);
	}

	private static EndpointEnd end(EndpointEndMessage message, Duration now) {
		EndpointRun run = new EndpointRun(new EndpointId(message.getEndpoint()), message.getStartedAtMillis());
		Map<String, Duration> sentAt = new HashMap<>();
		if (message.isSetSentAgeMicroseconds()) {
			message.getSentAgeMicroseconds().forEach((request, age) -> sentAt.put(request, MessageAge.time(age, now)));
		}
		return new EndpointEnd(run, new VersionId(message.getVersion()),
				MessageAge.time(message.getAgeMicroseconds(), now), new HashSet<>(message.getParts()), sentAt);
	}

	private static List<PartSuccessMessage> successes(Map<String, Duration> successes, Duration now) {
		return successes.entrySet()
			.stream()
			.map((entry) -> new PartSuccessMessage(entry.getKey(), MessageAge.of(entry.getValue(), now)))
			.toList();
	}

	private static RefusalState state(String name) {
		try {
			return RefusalState.valueOf(name);
		}
		catch (IllegalArgumentException ex) {
			throw new ProtocolException(ProtocolErrorCode.MALFORMED_FIELD, "state of a refusal '" + name + "'");
		}
	}

}
