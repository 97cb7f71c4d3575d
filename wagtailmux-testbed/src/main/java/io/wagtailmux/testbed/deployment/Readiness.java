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
 * Waits for instances.
 *
 * @author the wagtailmux developers
 */
public final class Readiness {

	private static final Duration INTERVAL = Duration.ofMillis(50);

	private static final OkHttpClient CLIENT = new OkHttpClient();

	private Readiness() {
	}

	/**
	 * Waits until an instance takes requests.
	 * @param entry its base address
	 * @param patience how long to wait
	 */
	public static void await(URI entry, Duration patience) {
		long end = System.nanoTime() + patience.toNanos();
		while (!isReady(entry)) {
			if (System.nanoTime() > end) {
				throw new StandInException(entry + " is not ready after " + patience + "\n" + controlThreads(), null);
			}
			try {
				Thread.sleep(INTERVAL.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new StandInException("interrupted", ex);
			}
		}
	}

	// What the control threads of instances in this process are doing.
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
	 * Tells whether an instance takes requests.
	 * @param entry its base address
	 * @return whether it says that it is ready
	 */
	public static boolean isReady(URI entry) {
		Request request = new Request.Builder().url(entry.resolve("/readyz").toString()).build();
		try (Response response = CLIENT.newCall(request).execute()) {
			return response.isSuccessful();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
