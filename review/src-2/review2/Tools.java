package review2;

import java.io.IOException;
import java.io.PrintStream;
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
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException | InterruptedException ex) {
				// The peer has gone.
			}
			catch (Exception ex) {
				record("error in " + name + ": " + ex);
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static List<Integer> freePorts(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		List<Integer> ports = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			sockets.add(socket);
			ports.add(socket.getLocalPort());
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

}
