package io.wagtailmux.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Blocks a command until the process receives SIGINT or SIGTERM.
 *
 * @author the wagtailmux developers
 */
public final class ShutdownSignal {

	private ShutdownSignal() {
	}

	/**
	 * Blocks until the JVM starts to shut down or the calling thread is interrupted, in
	 * which case its interrupt status is set. The JVM does not wait for the calling
	 * thread once it shuts down, so what the caller does afterwards may be cut short.
	 */
	public static void await() {
		CountDownLatch shutdownStarted = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(shutdownStarted::countDown, "interrupt"));
		try {
			shutdownStarted.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
