package io.wagtailmux.daemon.traffic;

import com.google.gson.annotations.SerializedName;

/**
 * What is known about whether a request had an effect.
 *
 * @author the wagtailmux developers
 */
public enum Execution {

	/** It is certain that no stage ran. */
	@SerializedName("not-run")
	NOT_RUN("not-run"),

	/**
	 * Some stage ran or may have run, but no stage that is not idempotent is known to
	 * have run.
	 */
	@SerializedName("unknown")
	UNKNOWN("unknown"),

	/** A stage that is not idempotent ran. */
	@SerializedName("ran")
	RAN("ran");

	private final String wireName;

	Execution(String wireName) {
		this.wireName = wireName;
	}

	/**
	 * Returns the name of the constant in responses to callers and in the log.
	 * @return the name, such as {@code not-run}
	 */
	public String wireName() {
		return this.wireName;
	}

}
