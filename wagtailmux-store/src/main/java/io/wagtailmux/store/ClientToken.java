package io.wagtailmux.store;

import java.util.UUID;

/**
 * Idempotency token of a transaction: repeating the transaction with the same token has
 * no further effect.
 *
 * @param value 1 to 36 characters, unique to the transaction; not checked here
 * @author the wagtailmux developers
 */
public record ClientToken(String value) {

	/**
	 * Creates a token from a random UUID.
	 * @return a token for a new transaction
	 */
	public static ClientToken random() {
		return new ClientToken(UUID.randomUUID().toString());
	}

}
