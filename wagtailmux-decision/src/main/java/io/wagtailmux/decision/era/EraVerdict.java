package io.wagtailmux.decision.era;

/**
 * How an answer of the store is to be taken, judged by the era that it states.
 *
 * @author the wagtailmux developers
 */
public enum EraVerdict {

	/** The answer belongs to the current era. */
	CURRENT,

	/** The answer is the first one of a later era than known. */
	NEW,

	/** The answer states no era; it counts as one of the current era. */
	UNSTATED,

	/** The answer was sent in an earlier era and must not be applied. */
	LATE,

	/** The store states an earlier era than before; the answer counts as current. */
	FALLEN

}
