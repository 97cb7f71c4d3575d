package io.wagtailmux.daemon;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;

import io.wagtailmux.daemon.settings.InstanceSettings;
import io.wagtailmux.daemon.settings.SettingsReader;
import io.wagtailmux.model.TimeSource;

/**
 * The {@code wagtailmuxd} binary: runs one instance until SIGTERM or SIGINT.
 *
 * <p>
 * Exit codes: 0 after a shutdown in which all requests ended, 2 for invalid arguments or
 * settings, 3 if the port for callers or operators could not be bound, 4 if requests were
 * aborted at the drain timeout.
 *
 * @author the wagtailmux developers
 */
@Command(name = "wagtailmuxd", description = "Runs one wagtailmux entry instance until SIGTERM or SIGINT")
public final class WagtailmuxDaemon {

	private static final int USAGE_ERROR = 2;

	private static final int START_FAILED = 3;

	private static final int DRAIN_TIMED_OUT = 4;

	@AirlineModule
	private HelpOption<WagtailmuxDaemon> help;

	@Option(name = "--settings", title = "FILE", description = "The INI file with the instance's settings")
	private String settingsFile;

	@Option(name = "--version", description = "Prints the version and exits")
	private boolean showVersion;

	/**
	 * Parses the command line and runs the instance until the process is terminated.
	 * @param arguments the command line arguments
	 */
	public static void main(String[] arguments) {
		SingleCommand<WagtailmuxDaemon> parser = SingleCommand.singleCommand(WagtailmuxDaemon.class);
		try {
			int code = parser.parse(arguments).run();
			if (code != 0) {
				System.exit(code);
			}
		}
		catch (ParseException ex) {
			System.err.println("wagtailmuxd: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private int run() {
		if (this.help.showHelpIfRequested()) {
			return 0;
		}
		if (this.showVersion) {
			String version = WagtailmuxDaemon.class.getPackage().getImplementationVersion();
			System.out.println("wagtailmuxd " + Optional.ofNullable(version).orElse("unpackaged"));
			return 0;
		}
		if (this.settingsFile == null) {
			System.err.println("wagtailmuxd: required option --settings FILE is missing");
			return USAGE_ERROR;
		}
		try {
			InstanceSettings settings = SettingsReader.read(Path.of(this.settingsFile));
			System.setProperty("wagtailmux.log.format", settings.logFormat().name().toLowerCase(Locale.ROOT));
			return serve(settings);
		}
		catch (DaemonException ex) {
			System.err.println("wagtailmuxd: " + ex.code() + System.lineSeparator() + ex.getMessage());
			return (ex.code() == DaemonErrorCode.CANNOT_LISTEN) ? START_FAILED : USAGE_ERROR;
		}
	}

	private static int serve(InstanceSettings settings) {
		Instance instance = Instance.start(settings, TimeSource.system());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			boolean drained = instance.shutdown();
			Runtime.getRuntime().halt(drained ? 0 : DRAIN_TIMED_OUT);
		}, "shutdown"));
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return 0;
	}

}
