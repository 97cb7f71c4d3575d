package io.wagtailmux.daemon.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

import io.wagtailmux.store.ClientToken;
import io.wagtailmux.store.CommitResult;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.PlatformErrorCode;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableStore;

/**
 * Group commit: combines independent conditional writes of several requests into one
 * transaction on the table.
 *
 * <p>
 * Writes that arrive while a transaction is in progress are queued for the next one. A
 * write whose condition does not hold is rejected alone; the other writes of its group
 * are committed without it. A transaction that fails, for example because its response is
 * lost, is retried with the same client token, so that it takes effect at most once. Safe
 * for use by several threads; one thread of its own runs the transactions.
 *
 * @author the wagtailmux developers
 */
final class GroupCommitter implements AutoCloseable {

	private static final int COMMIT_ATTEMPTS = 2;

	private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>();

	private final TableStore table;

	private final Histogram groupSize;

	private final Thread thread;

	/**
	 * Creates the committer and starts its thread, which {@link #close()} stops.
	 * @param table the table to write to
	 * @param metrics the registry for the sizes of the groups
	 */
	GroupCommitter(TableStore table, MetricRegistry metrics) {
		this.table = table;
		this.groupSize = metrics.histogram("claims.group-size");
		this.thread = new Thread(this::run, "claim-committer");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Queues a write for the next transaction.
	 * @param write the write to commit
	 * @return a future with {@code true} if the write was committed and {@code false} if
	 * its condition did not hold; it fails with a {@link PlatformException} if that
	 * cannot be determined, and never completes if the write is still queued at
	 * {@link #close()}
	 */
	CompletableFuture<Boolean> commit(ConditionalWrite write) {
		Pending pending = new Pending(write, new CompletableFuture<>());
		this.queue.add(pending);
		return pending.committed;
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

	private void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				commitGroup(nextGroup());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A transaction cannot write a key twice, so the group ends before a second write of
	// the same key.
	private List<Pending> nextGroup() throws InterruptedException {
		List<Pending> group = new ArrayList<>();
		Set<RecordKey> keys = new HashSet<>();
		group.add(this.queue.take());
		keys.add(group.get(0).write.key());
		Pending next = this.queue.peek();
		while (next != null && group.size() < TableStore.MAXIMUM_WRITES && keys.add(next.write.key())) {
			group.add(this.queue.remove());
			next = this.queue.peek();
		}
		return group;
	}

	private void commitGroup(List<Pending> group) {
		this.groupSize.update(group.size());
		List<Pending> remaining = group;
		try {
			while (!remaining.isEmpty()) {
				remaining = commitOnce(remaining);
			}
		}
		catch (PlatformException ex) {
			remaining.forEach((pending) -> pending.committed.completeExceptionally(ex));
		}
		catch (RuntimeException ex) {
			PlatformException failure = new PlatformException(PlatformErrorCode.UNKNOWN_OUTCOME, "commit claims", ex);
			remaining.forEach((pending) -> pending.committed.completeExceptionally(failure));
		}
	}

	/**
	 * Commits writes in one transaction and completes the futures of those whose outcome
	 * is known.
	 * @param group the writes to commit
	 * @return the writes to commit again because the condition of another write in the
	 * group did not hold
	 */
	private List<Pending> commitOnce(List<Pending> group) {
		CommitResult result = commitWithRetry(group.stream().map(Pending::write).toList());
		List<Pending> remaining = new ArrayList<>();
		for (Pending pending : group) {
			if (result.committed()) {
				pending.committed.complete(true);
			}
			else if (result.conflicts().contains(pending.write.key())) {
				pending.committed.complete(false);
			}
			else {
				remaining.add(pending);
			}
		}
		return remaining;
	}

	private CommitResult commitWithRetry(List<ConditionalWrite> writes) {
		ClientToken token = ClientToken.random();
		PlatformException last = null;
		for (int attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++) {
			try {
				return this.table.commit(writes, token);
			}
			catch (PlatformException ex) {
				last = ex;
			}
		}
		throw last;
	}

	private record Pending(ConditionalWrite write, CompletableFuture<Boolean> committed) {

	}

}
