package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs one case: exits with 10 if the rule was broken, 0 if it held, 2 if the case could
 * not run. Java itself exits with 1 if it cannot start a program, so that 1 says nothing;
 * the scripts turn 10 into 1, and all else but 0 into 2.
 */
public final class Main {

	private static final int BROKEN_STATUS = 10;

	private Main() {
	}

	public static void main(String[] arguments) throws IOException {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("review2");
		int status = 2;
		Runtime.getRuntime().addShutdownHook(new Thread(Instance::endAll));
		try {
			Tools.recordTo(Path.of(arguments[1], "record.txt"));
			boolean broken = switch (arguments[0]) {
				case "answer-in-answer" -> new AnswerInAnswer().run(folder, trouble);
				case "worker-crashes" -> new WorkerCrashes().run(folder, trouble);
				case "paged-read" -> new PagedRead().run(folder, trouble);
				default -> throw new IllegalArgumentException(arguments[0]);
			};
			status = broken ? BROKEN_STATUS : 0;
			Tools.record(broken ? "the rule was broken" : "the rule held");
		}
		catch (Exception ex) {
			Tools.record("could not run: " + ex);
		}
		finally {
			try (Stream<Path> files = Files.walk(folder)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
		}
		Instance.endAll();
		Runtime.getRuntime().halt(status);
	}

}
