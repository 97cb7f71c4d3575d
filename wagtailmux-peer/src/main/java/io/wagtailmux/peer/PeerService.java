package io.wagtailmux.peer;

import java.util.List;

import io.wagtailmux.peer.wire.ConfigurationMessage;
import io.wagtailmux.peer.wire.DigestMessage;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;

/**
 * Handles the calls of peers. The methods are called by several threads at the same time
 * and must not return null, which fails the peer's call.
 *
 * @author the wagtailmux developers
 */
public interface PeerService {

	/**
	 * Processes a peer's digest.
	 * @param peerDigest the state of the peer
	 * @return the state of this instance
	 */
	DigestMessage exchange(DigestMessage peerDigest);

	/**
	 * Returns this instance's current configuration.
	 * @return the configuration, with version zero if there is none
	 */
	ConfigurationMessage configuration();

	/**
	 * Grants a peer shares of the call limits of endpoints.
	 * @param instance the peer's id
	 * @param reports the peer's reports on endpoints
	 * @return the granted shares; reports on endpoints that this instance does not limit
	 * are left out
	 */
	List<ShareGrantMessage> shares(String instance, List<ShareReportMessage> reports);

}
