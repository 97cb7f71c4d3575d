package io.wagtailmux.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import io.jooby.Context;

/**
 * Digests of bearer tokens. Configurations and settings store the digest, not the token.
 *
 * @author the wagtailmux developers
 */
public final class TokenDigest {

	private static final String SCHEME = "Bearer ";

	private TokenDigest() {
	}

	/**
	 * Returns the digest of a token.
	 * @param token the token
	 * @return the SHA-256 digest of its UTF-8 bytes in lower-case hexadecimal digits
	 */
	public static String of(String token) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available in this Java runtime", ex);
		}
	}

	/**
	 * Returns the digest of the bearer token of a request.
	 * @param context the request
	 * @return the digest, or empty if the request has no bearer token
	 */
	public static Optional<String> ofRequest(Context context) {
		String header = context.header("Authorization").value("");
		return header.startsWith(SCHEME) ? Optional.of(of(header.substring(SCHEME.length()))) : Optional.empty();
	}

}
