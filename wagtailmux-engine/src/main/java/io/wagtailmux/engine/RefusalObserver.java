package io.wagtailmux.engine;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.poison.EndpointEnd;
import io.wagtailmux.decision.poison.PoisonListener;
import io.wagtailmux.decision.poison.Refusal;
import io.wagtailmux.model.PoolId;

/**
 * Logs, counts and passes on what is decided about prompt parts of one pool. Used on the
 * traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class RefusalObserver implements PoisonListener {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private final PoolId pool;

	private final EngineMetrics metrics;

	private final Consumer<Refusal> ownRefusals;

	/**
	 * Creates the observer.
	 * @param pool the pool
	 * @param metrics the counters
	 * @param ownRefusals receives the refusals and changes that this instance decided
	 */
	RefusalObserver(PoolId pool, EngineMetrics metrics, Consumer<Refusal> ownRefusals) {
		this.pool = pool;
		this.metrics = metrics;
		this.ownRefusals = ownRefusals;
	}

	@Override
	public void onSuspected(Set<String> parts, List<EndpointEnd> ends) {
		this.metrics.recordPartDecision("suspected");
		LOG.atWarn()
			.addKeyValue("pool", this.pool)
			.addKeyValue("suspects", parts)
			.addKeyValue("ended", ends.stream().map(EndpointEnd::run).toList())
			.log("suspected of crashing endpoints");
	}

	@Override
	public void onSuspicionEnded(Set<String> parts) {
		this.metrics.recordPartDecision("unsuspected");
		LOG.atInfo().addKeyValue("pool", this.pool).addKeyValue("suspects", parts).log("no longer suspected");
	}

	@Override
	public void onRefusalChanged(Refusal refusal, boolean own) {
		this.metrics.recordPartDecision(refusal.state().name().toLowerCase(Locale.ROOT));
		LOG.atWarn()
			.addKeyValue("pool", this.pool)
			.addKeyValue("suspects", refusal.parts())
			.addKeyValue("state", refusal.state())
			.addKeyValue("revision", refusal.revision())
			.addKeyValue("relapses", refusal.relapses())
			.addKeyValue("ended", refusal.toldBy())
			.addKeyValue("versions", refusal.versions())
			.addKeyValue("decidedHere", own)
			.log("refusal changed");
		if (own) {
			this.ownRefusals.accept(refusal);
		}
	}

}
