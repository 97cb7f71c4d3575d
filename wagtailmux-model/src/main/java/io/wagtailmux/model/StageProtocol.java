package io.wagtailmux.model;

/**
 * Protocols with which endpoints are called.
 *
 * @author the wagtailmux developers
 */
public enum StageProtocol {

	/** The OpenAI completions API, with the response streamed as server-sent events. */
	COMPLETIONS("/v1/completions", "/health"),

	/**
	 * The Open Inference Protocol, version 2, with one BYTES tensor as input and one as
	 * output.
	 */
	INFERENCE("/v2/models/stage/infer", "/v2/health/ready"),

	/**
	 * Plain HTTP service that accepts a JSON object by POST and returns a JSON object.
	 */
	SERVICE("/run", "/health");

	private final String path;

	private final String healthPath;

	StageProtocol(String path, String healthPath) {
		this.path = path;
		this.healthPath = healthPath;
	}

	/**
	 * Returns the path that runs a stage, relative to an endpoint's address.
	 * @return the path, beginning with a slash
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns the path of the health check, relative to an endpoint's address. The
	 * response contains the endpoint's boot id; the check does not run a stage.
	 * @return the path, beginning with a slash
	 */
	public String healthPath() {
		return this.healthPath;
	}

	/**
	 * Returns whether responses are streams of numbered tokens, which can be resumed
	 * after the last received token.
	 * @return whether responses are streamed
	 */
	public boolean streams() {
		return this == COMPLETIONS;
	}

}
