package io.wagtailmux.testbed.load;

import io.wagtailmux.testbed.deployment.CallerAnswer;

/**
 * One request of a load and what came back.
 *
 * @param source who sent it
 * @param marker the unique text of its input
 * @param answer what came back; its time counts from when the request was due
 * @author the wagtailmux developers
 */
public record LoadResult(LoadSource source, String marker, CallerAnswer answer) {

	/**
	 * Tells whether the caller got its own whole answer by its deadline.
	 * @return whether it was served
	 */
	public boolean served() {
		return this.answer.answered() && own()
				&& this.answer.elapsed().compareTo(this.source.timeout()) <= 0;
	}

	/**
	 * Tells whether the answer is to this request.
	 * @return whether it holds the marker
	 */
	public boolean own() {
		return this.answer.body().toString().contains(this.marker);
	}

}
