package io.wagtailmux.testbed.deployment;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

import io.wagtailmux.testbed.standin.StandInException;

/**
 * Polls the readiness of instances over HTTP.
 *
 * @author the wagtailmux developers
 */
public final class Readiness {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	private static final OkHttpClient CLIENT = new OkHttpClient();

	private Readiness() {
	}

	/**
	 * Waits until an instance is ready.
	 * @param address the base address of its caller interface
	 * @param timeout the maximum time to wait; a request in progress at its end is not
	 * cancelled
	 * @throws StandInException if it is not ready in time, or if the thread is
	 * interrupted, whose interrupt status is then set; a timeout message includes the
	 * stacks of the control threads of instances in this process
	 */
	public static void await(URI address, Duration timeout) {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (!isReady(address)) {
			if (System.nanoTime() > deadline) {
				throw new StandInException(address + " is not ready after " + timeout + "\n" + controlThreads(), null);
			}
			try {
				Thread.sleep(POLL_INTERVAL.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new StandInException("interrupted while waiting for an instance to be ready", ex);
			}
		}
	}

	// Returns the stacks of the control threads of instances that run in this process.
	private static String controlThreads() {
		StringBuilder text = new StringBuilder();
		Thread.getAllStackTraces().forEach((thread, frames) -> {
			if (thread.getName().startsWith("control") || thread.getName().startsWith("platform-calls")) {
				text.append(thread).append(' ').append(thread.getState()).append('\n');
				Arrays.stream(frames).limit(40).forEach((frame) -> text.append("\tat ").append(frame).append('\n'));
			}
		});
		return text.toString();
	}

	/**
	 * Returns whether an instance is ready.
	 * @param address the base address of its caller interface
	 * @return whether the readiness check succeeds; false if the connection fails
	 */
	public static boolean isReady(URI address) {
		Request request = new Request.Builder().url(address.resolve("/readyz").toString()).build();
		try (Response response = CLIENT.newCall(request).execute()) {
			return response.isSuccessful();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
