package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes what was sent, answered and run to a file, with the seconds since the start.
 */
final class Record implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.start) / 1e9;
	}

	synchronized void line(String format, Object... arguments) {
		this.out.printf("%8.3f  %s%n", seconds(), format.formatted(arguments));
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
