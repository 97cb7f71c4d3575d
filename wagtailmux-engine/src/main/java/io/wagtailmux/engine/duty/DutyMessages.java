package io.wagtailmux.engine.duty;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.wagtailmux.decision.capacity.DemandSample;
import io.wagtailmux.decision.duty.DutyHolder;
import io.wagtailmux.decision.duty.DutyLeaseRow;
import io.wagtailmux.decision.duty.FencingToken;
import io.wagtailmux.decision.duty.UsageReport;
import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.DutyLeaseMessage;
import io.wagtailmux.peer.wire.PoolDemandMessage;
import io.wagtailmux.peer.wire.UsagePushMessage;
import io.wagtailmux.peer.wire.WindowUsageMessage;

/**
 * Converts the rows and messages of duties.
 *
 * @author the wagtailmux developers
 */
final class DutyMessages {

	private DutyMessages() {
	}

	static byte[] encode(DutyLeaseRow row) {
		DutyLeaseMessage message = new DutyLeaseMessage(row.holder().instance().value(), row.holder().incarnation(),
				row.token().value(), row.released());
		row.previous().ifPresent((instance) -> message.setPrevious(instance.value()));
		return ThriftCodec.encodeToBytes(message);
	}

	/**
	 * Decodes the row of the lease.
	 * @param value the value of the row
	 * @return the contents
	 * @throws io.wagtailmux.engine.port.ProtocolException if the value cannot be parsed
	 * @throws io.wagtailmux.model.ModelException if an id is not valid
	 */
	static DutyLeaseRow lease(byte[] value) {
		DutyLeaseMessage message = ThriftCodec.decode(value, new DutyLeaseMessage());
		return new DutyLeaseRow(new DutyHolder(new InstanceId(message.getInstance()), message.getIncarnation()),
				new FencingToken(message.getToken()), message.isReleased(),
				Optional.ofNullable(message.getPrevious()).map(InstanceId::new));
	}

	static byte[] encode(UsageReport report) {
		return ThriftCodec.encodeToBytes(window(report.window(), report.counts()));
	}

	/**
	 * Decodes the row of a report.
	 * @param value the value of the row
	 * @return the report
	 * @throws io.wagtailmux.engine.port.ProtocolException if the value cannot be parsed
	 * @throws io.wagtailmux.model.ModelException if an id is not valid
	 */
	static UsageReport report(byte[] value) {
		WindowUsageMessage message = ThriftCodec.decode(value, new WindowUsageMessage());
		return new UsageReport(message.getWindow(), counts(message));
	}

	static WindowUsageMessage window(long window, Map<OrganisationId, Long> counts) {
		Map<String, Long> named = new TreeMap<>();
		counts.forEach((organisation, count) -> named.put(organisation.value(), count));
		return new WindowUsageMessage(window, named);
	}

	static Map<OrganisationId, Long> counts(WindowUsageMessage message) {
		Map<OrganisationId, Long> counts = new HashMap<>();
		message.getCounts().forEach((organisation, count) -> counts.put(new OrganisationId(organisation), count));
		return counts;
	}

	static List<PoolDemandMessage> messages(Map<PoolId, DemandSample> demands) {
		return demands.entrySet()
			.stream()
			.map((entry) -> new PoolDemandMessage(entry.getKey().value(), entry.getValue().busy(),
					entry.getValue().arrivals(), entry.getValue().refused()))
			.toList();
	}

	static Map<PoolId, DemandSample> demands(UsagePushMessage message) {
		Map<PoolId, DemandSample> demands = new HashMap<>();
		if (message.isSetDemands()) {
			message.getDemands()
				.forEach((demand) -> demands.put(new PoolId(demand.getPool()),
						new DemandSample(demand.getBusy(), demand.getArrivals(), demand.getRefused())));
		}
		return demands;
	}

}
