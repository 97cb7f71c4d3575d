package io.wagtailmux.testbed.load;

import io.wagtailmux.testbed.deployment.CallerAnswer;

/**
 * One request of a load and the response to it.
 *
 * @param source the source of the request
 * @param marker the text of its input, which is unique in the load
 * @param answer the response; its elapsed time is measured from the scheduled time of the
 * request
 * @author the wagtailmux developers
 */
public record LoadResult(LoadSource source, String marker, CallerAnswer answer) {

	/**
	 * Returns whether the caller got the complete output of its own request by the
	 * deadline.
	 * @return whether the request was served
	 */
	public boolean served() {
		return this.answer.answered() && own() && this.answer.elapsed().compareTo(this.source.timeout()) <= 0;
	}

	/**
	 * Returns whether the response belongs to this request.
	 * @return whether the body contains the marker
	 */
	public boolean own() {
		return this.answer.body().toString().contains(this.marker);
	}

}
