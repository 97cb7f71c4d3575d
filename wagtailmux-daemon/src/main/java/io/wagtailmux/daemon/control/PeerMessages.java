package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.decision.lease.LeaseValue;
import io.wagtailmux.decision.limit.ShareGrant;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;

/**
 * Converts reports, grants and lease holders to messages of the peer exchange and back.
 *
 * @author the wagtailmux developers
 */
final class PeerMessages {

	private PeerMessages() {
	}

	static List<ShareReportMessage> reportMessages(List<ShareReport> reports) {
		return reports.stream()
			.map((report) -> new ShareReportMessage(report.endpoint().value(), report.boot(), report.granted(),
					report.inFlight(), report.wanted(), report.goodAnswers(), report.failures()))
			.toList();
	}

	static List<ShareReport> reports(String instance, List<ShareReportMessage> messages) {
		InstanceId id = new InstanceId(instance);
		return messages.stream()
			.map((message) -> new ShareReport(id, new EndpointId(message.getEndpoint()), message.getBoot(),
					message.getGranted(), message.getInFlight(), message.getWanted(), message.getGoodAnswers(),
					message.getFailures()))
			.toList();
	}

	static List<ShareGrantMessage> grantMessages(List<ShareGrant> grants) {
		return grants.stream()
			.map((grant) -> new ShareGrantMessage(grant.endpoint().value(), grant.boot().value(), grant.proven(),
					grant.units(), (int) grant.lifetime().toMillis()))
			.toList();
	}

	static List<ShareGrant> grants(List<ShareGrantMessage> messages) {
		return messages.stream()
			.map((message) -> new ShareGrant(new EndpointId(message.getEndpoint()), new BootId(message.getBoot()),
					message.isProven(), message.getUnits(), Duration.ofMillis(message.getLifetimeMilliseconds())))
			.toList();
	}

	static Map<InstanceId, InetSocketAddress> holderAddresses(Map<Integer, LeaseValue> leases) {
		Map<InstanceId, InetSocketAddress> holders = new HashMap<>();
		leases.values().forEach((lease) -> {
			if (!lease.released()) {
				holders.put(new InstanceId(lease.holder()), address(lease.peerAddress()));
			}
		});
		return holders;
	}

	/**
	 * Parses an address and resolves its host.
	 * @param text the address as {@code host:port}
	 * @return the address
	 * @throws RuntimeException if the text does not have this form
	 */
	static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
