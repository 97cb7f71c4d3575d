package io.wagtailmux.daemon.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.daemon.traffic.Execution;
import io.wagtailmux.daemon.traffic.PipelineRequest;
import io.wagtailmux.daemon.traffic.ProblemCode;
import io.wagtailmux.daemon.traffic.RequestException;
import io.wagtailmux.decision.claim.Claim;
import io.wagtailmux.decision.claim.ClaimState;
import io.wagtailmux.decision.claim.ClaimVerdict;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableRecord;
import io.wagtailmux.store.TableStore;

/**
 * Runs requests that have an idempotency key and a stage that is not idempotent at most
 * once.
 *
 * <p>
 * The claim is committed before the first stage is called, its final state after the last
 * one. An instance that crashes in between leaves a claim in the state
 * {@link ClaimState#CLAIMED}; every duplicate of the request then fails with
 * {@link Execution#UNKNOWN}. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class ClaimedRequests implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(ClaimedRequests.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration RECORDING_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration RECORDING_INTERVAL = Duration.ofSeconds(2);

	// At least ten minutes with the interval, so that a claim gets its final state also
	// if the platform is unavailable for some minutes.
	private static final int RECORDING_ATTEMPTS = 300;

	private final Gson gson = new Gson();

	private final ScheduledExecutorService recordingExecutor = new ScheduledThreadPoolExecutor(1,
			(task) -> newDaemonThread(task, "claim-recorder"));

	private final TableStore table;

	private final GroupCommitter committer;

	private final InstanceId instance;

	/**
	 * Creates the object and starts its threads, which {@link #close()} stops.
	 * @param table the table that stores the claims
	 * @param instance the id of this instance, stored in its claims
	 * @param metrics the registry for the metrics of the claims
	 */
	public ClaimedRequests(TableStore table, InstanceId instance, MetricRegistry metrics) {
		this.table = table;
		this.instance = instance;
		this.committer = new GroupCommitter(table, metrics);
	}

	/**
	 * Runs a request under a claim, or returns the output that the claim stores if the
	 * request was answered before. Blocks until the request has ended, and then up to one
	 * second for the final state of the claim.
	 * @param request the request, which must have an idempotency key
	 * @param body the bytes of the request body, compared with those of an earlier
	 * request
	 * @param run runs the request and returns its output
	 * @return the output of the request
	 * @throws RequestException if there is no output; with {@link Execution#NOT_RUN} only
	 * if this request did not run; an earlier request with the same key may have run
	 */
	public JsonElement run(PipelineRequest request, byte[] body, Supplier<JsonElement> run) {
		String bodyDigest = digest(request.pipeline().id() + "\n", body);
		RecordKey key = RecordKey.claim(request.organisation().id().value(),
				digest(request.key().orElseThrow().value(), new byte[0]));
		Claim claim = new Claim(UUID.randomUUID().toString(), this.instance.value(), request.id().value(), bodyDigest,
				ClaimState.CLAIMED, null);
		RecordedClaim current = acquire(key, claim, request);
		Claim recorded = current.claim();
		return switch (ClaimVerdict.of(recorded, claim.attempt(), bodyDigest)) {
			case REPLAY -> JsonParser.parseString(recorded.output());
			case RUN -> runClaimed(current, run);
			case MISMATCH -> throw RequestException.invalid(ProblemCode.KEY_REUSED,
					"key " + request.key().get() + " was used before with another body or pipeline");
			case CLAIM_AGAIN, UNRESOLVED ->
				throw new RequestException(ProblemCode.KEY_UNRESOLVED, Execution.UNKNOWN, Optional.of(RETRY_AFTER),
						"key " + request.key().get() + " belongs to request " + recorded.requestId() + " of instance "
								+ recorded.instance() + ", state " + recorded.state());
		};
	}

	/**
	 * Stops the threads. Final states that are not stored yet are dropped. Requests must
	 * have ended before, since a claim that is still queued never completes.
	 */
	@Override
	public void close() {
		this.committer.close();
		this.recordingExecutor.shutdownNow();
	}

	// Claims the key unless it is claimed already; returns the claim that is now stored.
	private RecordedClaim acquire(RecordKey key, Claim claim, PipelineRequest request) {
		try {
			if (commit(ConditionalWrite.put(key, 0, this.gson.toJson(claim)))) {
				return new RecordedClaim(key, 1, claim);
			}
			RecordedClaim recorded = read(key);
			boolean released = ClaimVerdict.of(recorded.claim(), claim.attempt(),
					claim.bodyDigest()) == ClaimVerdict.CLAIM_AGAIN;
			if (!released) {
				return recorded;
			}
			boolean again = commit(ConditionalWrite.put(key, recorded.version(), this.gson.toJson(claim)));
			return again ? new RecordedClaim(key, recorded.version() + 1, claim) : read(key);
		}
		catch (PlatformException ex) {
			scheduleRelease(key, claim);
			throw RequestException.notRun(ProblemCode.PLATFORM_UNAVAILABLE, RETRY_AFTER,
					"key " + request.key().orElseThrow() + " could not be claimed: " + ex.code());
		}
	}

	private RecordedClaim read(RecordKey key) {
		TableRecord record = this.table.get(key).orElseThrow();
		return new RecordedClaim(key, record.version(), claimOf(record));
	}

	private JsonElement runClaimed(RecordedClaim current, Supplier<JsonElement> run) {
		try {
			JsonElement output = run.get();
			record(current, current.claim().withState(ClaimState.DONE, output.toString()));
			return output;
		}
		catch (RequestException ex) {
			boolean notRun = ex.execution() == Execution.NOT_RUN;
			record(current, current.claim().withState(notRun ? ClaimState.RELEASED : ClaimState.UNKNOWN, null));
			throw ex;
		}
	}

	// Stores the final state of a claim. A write that fails within the timeout is retried
	// in the background; one that fails later is not.
	private void record(RecordedClaim current, Claim ended) {
		ConditionalWrite write = ConditionalWrite.put(current.key(), current.version(), this.gson.toJson(ended));
		try {
			this.committer.commit(write).get(RECORDING_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.warn("final state of claim {} is not stored yet; no longer waiting for it", current.key());
		}
		catch (ExecutionException ex) {
			scheduleRecording(write, RECORDING_ATTEMPTS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void scheduleRecording(ConditionalWrite write, int attempts) {
		this.recordingExecutor.schedule(() -> {
			this.committer.commit(write).whenComplete((committed, failure) -> {
				if (failure != null && attempts > 1) {
					scheduleRecording(write, attempts - 1);
				}
			});
		}, RECORDING_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	// The claim may have been stored although the write failed. The request did not run,
	// so unless such a claim is released, the key stays claimed and cannot be used again.
	private void scheduleRelease(RecordKey key, Claim claim) {
		this.recordingExecutor.schedule(() -> release(key, claim, RECORDING_ATTEMPTS), RECORDING_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	// Retries a failed read of the claim, but not a failed write.
	private void release(RecordKey key, Claim claim, int attempts) {
		try {
			this.table.get(key)
				.filter((record) -> claimOf(record).attempt().equals(claim.attempt()))
				.ifPresent((record) -> this.committer.commit(ConditionalWrite.put(key, record.version(),
						this.gson.toJson(claim.withState(ClaimState.RELEASED, null)))));
		}
		catch (PlatformException ex) {
			if (attempts > 1) {
				this.recordingExecutor.schedule(() -> release(key, claim, attempts - 1), RECORDING_INTERVAL.toMillis(),
						TimeUnit.MILLISECONDS);
			}
		}
	}

	private boolean commit(ConditionalWrite write) {
		try {
			return this.committer.commit(write).join();
		}
		catch (CompletionException ex) {
			throw (PlatformException) ex.getCause();
		}
	}

	private Claim claimOf(TableRecord record) {
		return this.gson.fromJson(record.value(), Claim.class);
	}

	private static String digest(String text, byte[] bytes) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available in this Java runtime", ex);
		}
	}

	private static Thread newDaemonThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

}
