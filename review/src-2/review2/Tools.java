package review2;

import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Threads, free ports and the record of a case. */
final class Tools {

	interface Task {

		void run() throws Exception;

	}

	private static PrintStream record = System.out;

	private static final int LAST_PORT = 32_000;

	private static int nextPort = 11_000 + (int) (ProcessHandle.current().pid() % 1000) * 20;

	private static final long START = System.nanoTime();

	private Tools() {
	}

	static void recordTo(Path file) throws IOException {
		record = new PrintStream(file.toFile());
	}

	static synchronized void record(String line) {
		record.printf("%7.3f %s%n", (System.nanoTime() - START) / 1e9, line);
		record.flush();
	}

	/** Runs a task on a daemon thread; failures of sockets end it silently. */
	static Thread run(String name, Task task) {
		Thread thread = new Thread(null, () -> {
			try {
				task.run();
			}
			catch (IOException | InterruptedException ex) {
				// The peer has gone.
			}
			catch (Exception ex) {
				record("error in " + name + ": " + ex);
			}
		}, name, 128 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** Returns free ports below those that the system gives to outgoing connections. */
	static synchronized List<Integer> freePorts(int count) throws IOException {
		List<Integer> ports = new ArrayList<>();
		while (ports.size() < count) {
			int port = nextPort++;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				ports.add(port);
			}
			catch (BindException ex) {
				// In use; the next one is tried.
			}
			if (nextPort > LAST_PORT) {
				throw new IOException("no free ports");
			}
		}
		return ports;
	}

}
