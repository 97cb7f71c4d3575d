package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The results of pieces at all stage workers: which piece each handle stands for, and
 * whether its maker still holds it.
 */
final class Results {

	/** A piece of a request. */
	record Piece(String attempt, int stage, int piece) {
	}

	private final Map<String, Piece> made = new ConcurrentHashMap<>();

	private final Map<String, StageWorker> held = new ConcurrentHashMap<>();

	void add(String handle, Piece piece, StageWorker maker) {
		this.made.put(handle, piece);
		this.held.put(handle, maker);
	}

	void free(String handle, StageWorker maker) {
		this.held.remove(handle, maker);
	}

	/** Returns the piece that a handle was made for, also if it is gone since. */
	Piece piece(String handle) {
		return this.made.get(handle);
	}

	boolean holds(String handle) {
		StageWorker maker = this.held.get(handle);
		return maker != null && !maker.crashed;
	}

	int heldBy(StageWorker maker) {
		return (int) this.held.values().stream().filter(maker::equals).count();
	}

}
