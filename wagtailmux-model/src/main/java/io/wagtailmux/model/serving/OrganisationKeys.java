package io.wagtailmux.model.serving;

import java.util.List;
import java.util.OptionalInt;

import io.wagtailmux.model.OrganisationId;

/**
 * API keys and priority of an organisation.
 *
 * @param id the organisation's id
 * @param keys the valid API keys; copied
 * @param priority the priority of its requests, which overrides that of the route; empty
 * if the priority of the route applies. Zero is the most urgent
 * @author the wagtailmux developers
 */
public record OrganisationKeys(OrganisationId id, List<String> keys, OptionalInt priority) {

	/**
	 * Creates the entry.
	 */
	public OrganisationKeys {
		keys = List.copyOf(keys);
	}

}
