package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * The waiting pieces of a stage pool, in the order in which they are sent: those that can
 * still meet their target time before the others, and among them by slack and priority.
 *
 * <p>
 * The load that it answers: thousands of pieces wait, and hundreds of times a second one
 * arrives or an endpoint becomes free. No operation reads or sorts the whole queue. Not
 * thread-safe.
 *
 * @author the wagtailmux developers
 */
final class PieceQueue {

	/** Pieces whose urgencies differ by less are counted together. */
	private static final Duration URGENCY_STEP = Duration.ofMillis(50);

	/** One level of priority outweighs this much slack. */
	private static final Duration PRIORITY_STEP = Duration.ofMillis(150);

	private static final Comparator<Waiting> BY_URGENCY = Comparator.comparing(Waiting::urgency)
		.thenComparingLong(Waiting::number);

	private final Map<PieceId, Waiting> waiting = new HashMap<>();

	private final Map<Optional<AvailabilityZoneId>, Lane> lanes = new HashMap<>();

	private final TreeSet<Waiting> byDeadline = new TreeSet<>(
			Comparator.comparing((Waiting each) -> each.ticket().deadline()).thenComparingLong(Waiting::number));

	/**
	 * How many pieces that can still meet their target time wait, by steps of urgency.
	 */
	private final TreeMap<Long, Integer> timelyByUrgency = new TreeMap<>();

	/** How many pieces wait, by the size of their results in bytes. */
	private final TreeMap<Long, Integer> resultSizes = new TreeMap<>();

	private long added;

	int size() {
		return this.waiting.size();
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	/**
	 * Counts the pieces that would be sent before a new one.
	 * @param piece the urgency of the new piece
	 * @param now the elapsed time
	 * @return the number, without those that arrive after it
	 */
	int ahead(PieceUrgency piece, Duration now) {
		if (piece.slack().isNegative()) {
			return size();
		}
		this.lanes.values().forEach((lane) -> lane.update(now));
		long last = step(urgency(now.plus(piece.slack()), piece.priority()));
		return this.timelyByUrgency.headMap(last, true).values().stream().mapToInt(Integer::intValue).sum();
	}

	private static Duration urgency(Duration latestStart, int priority) {
		return latestStart.plus(PRIORITY_STEP.multipliedBy(priority));
	}

	private static long step(Duration urgency) {
		return Math.floorDiv(urgency.toNanos(), URGENCY_STEP.toNanos());
	}

	/**
	 * Adds a piece.
	 * @param ticket the piece; it replaces a waiting piece with the same id
	 */
	void add(PieceTicket ticket) {
		remove(ticket.id());
		Waiting added = new Waiting(ticket, ++this.added);
		this.waiting.put(ticket.id(), added);
		this.lanes.computeIfAbsent(ticket.home(), (ignored) -> new Lane()).add(added);
		this.byDeadline.add(added);
		this.resultSizes.merge(ticket.resultBytes(), 1, Integer::sum);
	}

	/**
	 * Removes a piece.
	 * @param id the id of the piece
	 * @return whether it was waiting
	 */
	boolean remove(PieceId id) {
		Waiting removed = this.waiting.remove(id);
		if (removed == null) {
			return false;
		}
		this.lanes.get(removed.ticket().home()).remove(removed);
		this.byDeadline.remove(removed);
		decrement(this.resultSizes, removed.ticket().resultBytes());
		return true;
	}

	private static void decrement(Map<Long, Integer> counts, long key) {
		counts.computeIfPresent(key, (ignored, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Removes the pieces whose deadline is earlier than a time.
	 * @param time the elapsed time
	 * @return the removed pieces
	 */
	List<PieceTicket> removeDue(Duration time) {
		List<PieceTicket> removed = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && this.byDeadline.first().ticket().deadline().compareTo(time) < 0) {
			removed.add(this.byDeadline.first().ticket());
			remove(this.byDeadline.first().ticket().id());
		}
		return removed;
	}

	/**
	 * Removes all pieces.
	 * @return the removed pieces
	 */
	List<PieceTicket> removeAll() {
		List<PieceTicket> removed = this.waiting.values().stream().map(Waiting::ticket).toList();
		removed.forEach((ticket) -> remove(ticket.id()));
		return removed;
	}

	/**
	 * Returns the size of the smallest result of a waiting piece.
	 * @return the size in bytes; zero if no piece waits
	 */
	long smallestResult() {
		return this.resultSizes.isEmpty() ? 0 : this.resultSizes.firstKey();
	}

	/**
	 * Returns the pieces in the order in which they are sent. It must not be used after
	 * the queue has changed.
	 * @param homes selects the pieces by the availability zone in which their results are
	 * read
	 * @param now the elapsed time
	 * @return reads only as many pieces as are taken from it
	 */
	Iterator<PieceTicket> inOrder(Predicate<Optional<AvailabilityZoneId>> homes, Duration now) {
		List<Iterator<Waiting>> timely = new ArrayList<>();
		List<Iterator<Waiting>> late = new ArrayList<>();
		this.lanes.forEach((home, lane) -> {
			if (homes.test(home)) {
				lane.update(now);
				timely.add(lane.timely.iterator());
				late.add(lane.late.iterator());
			}
		});
		Merged first = new Merged(timely);
		Merged then = new Merged(late);
		return new Iterator<>() {

			@Override
			public boolean hasNext() {
				return first.hasNext() || then.hasNext();
			}

			@Override
			public PieceTicket next() {
				return first.hasNext() ? first.next() : then.next();
			}

		};
	}

	/**
	 * The pieces whose results are read in one availability zone.
	 */
	private final class Lane {

		private final TreeSet<Waiting> timely = new TreeSet<>(BY_URGENCY);

		private final TreeSet<Waiting> late = new TreeSet<>(BY_URGENCY);

		private final TreeSet<Waiting> timelyByLatestStart = new TreeSet<>(
				Comparator.comparing((Waiting each) -> each.ticket().latestStart()).thenComparingLong(Waiting::number));

		void add(Waiting added) {
			this.timely.add(added);
			this.timelyByLatestStart.add(added);
			PieceQueue.this.timelyByUrgency.merge(step(added.urgency()), 1, Integer::sum);
		}

		void remove(Waiting removed) {
			if (!this.late.remove(removed)) {
				this.timelyByLatestStart.remove(removed);
				removeTimely(removed);
			}
		}

		private void removeTimely(Waiting removed) {
			this.timely.remove(removed);
			decrement(PieceQueue.this.timelyByUrgency, step(removed.urgency()));
		}

		void update(Duration now) {
			while (!this.timelyByLatestStart.isEmpty()
					&& this.timelyByLatestStart.first().ticket().latestStart().compareTo(now) < 0) {
				Waiting first = this.timelyByLatestStart.pollFirst();
				removeTimely(first);
				this.late.add(first);
			}
		}

	}

	/**
	 * Several ordered sequences as one.
	 */
	private static final class Merged implements Iterator<PieceTicket> {

		private final PriorityQueue<Head> heads = new PriorityQueue<>(Comparator.comparing(Head::waiting, BY_URGENCY));

		Merged(List<Iterator<Waiting>> sequences) {
			sequences.forEach(this::advance);
		}

		private void advance(Iterator<Waiting> sequence) {
			if (sequence.hasNext()) {
				this.heads.add(new Head(sequence.next(), sequence));
			}
		}

		@Override
		public boolean hasNext() {
			return !this.heads.isEmpty();
		}

		@Override
		public PieceTicket next() {
			Head head = this.heads.poll();
			if (head == null) {
				throw new NoSuchElementException();
			}
			advance(head.rest());
			return head.waiting().ticket();
		}

	}

	/** The first piece of a sequence and those after it. */
	private record Head(Waiting waiting, Iterator<Waiting> rest) {

	}

	/**
	 * A waiting piece.
	 *
	 * @param ticket the piece
	 * @param number the number of its arrival, different from those of all others
	 */
	private record Waiting(PieceTicket ticket, long number) {

		Duration urgency() {
			return PieceQueue.urgency(this.ticket.latestStart(), this.ticket.priority());
		}

	}

}
