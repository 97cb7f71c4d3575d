package io.wagtailmux.engine.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

import io.wagtailmux.decision.poison.SuspectKind;
import io.wagtailmux.model.OrganisationId;

/**
 * Identity of a request that its caller sends again: the same organisation, method, host,
 * path and body, whatever its other headers. Equal on all instances, and from a
 * cryptographic hash, so that callers cannot make another request equal to theirs.
 *
 * @param value the id of the request as a suspect of crashes
 * @author the wagtailmux developers
 */
record RequestFingerprint(String value) {

	private static final int HASH_BYTES = 12;

	private static final byte SEPARATOR = 0;

	/**
	 * Computes the identity of a request.
	 * @param organisation the organisation of the caller; empty if it is anonymous
	 * @param head the method, the path and the headers
	 * @param body the body; its reader index does not change
	 * @return the identity
	 */
	static RequestFingerprint of(Optional<OrganisationId> organisation, HttpRequest head, ByteBuf body) {
		MessageDigest digest = sha256();
		add(digest, organisation.map(OrganisationId::value).orElse(""));
		add(digest, head.method().name());
		add(digest, head.headers().get(HttpHeaderNames.HOST, ""));
		add(digest, head.uri());
		for (ByteBuffer buffer : body.nioBuffers()) {
			digest.update(buffer);
		}
		return new RequestFingerprint(SuspectKind.requestId(HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES)));
	}

	private static void add(MessageDigest digest, String text) {
		digest.update(text.getBytes(StandardCharsets.UTF_8));
		digest.update(SEPARATOR);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available in this Java runtime", ex);
		}
	}

}
