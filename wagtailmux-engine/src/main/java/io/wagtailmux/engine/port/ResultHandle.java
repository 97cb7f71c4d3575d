package io.wagtailmux.engine.port;

/**
 * Identifies the result of a piece at the endpoint that keeps it.
 *
 * @param value the text that the endpoint returned, passed to endpoints unchanged
 * @author the wagtailmux developers
 */
public record ResultHandle(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
