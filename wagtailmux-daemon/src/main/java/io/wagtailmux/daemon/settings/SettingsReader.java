package io.wagtailmux.daemon.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import io.wagtailmux.daemon.DaemonErrorCode;
import io.wagtailmux.daemon.DaemonException;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.decision.choice.ChoicePolicy;
import io.wagtailmux.decision.queue.QueuePolicy;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.store.ini.IniException;
import io.wagtailmux.store.ini.IniFile;
import io.wagtailmux.store.ini.IniSection;
import io.wagtailmux.store.ini.NearestName;
import io.wagtailmux.store.ini.Problem;

/**
 * Reader for the settings of an instance in INI format. It reports all errors of a file
 * together.
 *
 * @author the wagtailmux developers
 */
public final class SettingsReader {

	private static final Set<String> SECTIONS = Set.of("instance", "callers", "peers", "operators", "platform",
			"policy", "logging");

	private final IniFile file;

	private SettingsReader(IniFile file) {
		this.file = file;
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file
	 * @return the validated settings
	 * @throws DaemonException with {@link DaemonErrorCode#UNREADABLE_SETTINGS} if the
	 * file cannot be read, or with {@link DaemonErrorCode#INVALID_SETTINGS} and a message
	 * that lists every error in it
	 */
	public static InstanceSettings read(Path path) {
		try {
			return parse(Files.readString(path));
		}
		catch (IOException ex) {
			throw new DaemonException(DaemonErrorCode.UNREADABLE_SETTINGS, "cannot read " + path, ex);
		}
	}

	/**
	 * Parses the text of a settings file.
	 * @param text the INI text
	 * @return the validated settings
	 * @throws DaemonException with {@link DaemonErrorCode#INVALID_SETTINGS} and a message
	 * that lists every error in the text
	 */
	public static InstanceSettings parse(String text) {
		try {
			return new SettingsReader(IniFile.read(text)).readAll();
		}
		catch (IniException ex) {
			throw new DaemonException(DaemonErrorCode.INVALID_SETTINGS, ex.getMessage(), ex);
		}
	}

	private InstanceSettings readAll() {
		rejectUnknownSections();
		IniSection instance = this.file.section("instance");
		InstanceId id = instance.required("id", InstanceId::new);
		AvailabilityZoneId zone = instance.required("availability-zone", AvailabilityZoneId::new);
		Duration drainTimeout = instance.optional("drain-timeout", Duration.ofSeconds(10), Duration::parse);
		Duration shutdownDelay = instance.optional("leave-delay", Duration.ofSeconds(2), Duration::parse);
		instance.rejectUnknownKeys();
		IniSection callers = this.file.section("callers");
		ListenAddress callerAddress = readAddress(callers);
		CallerLimits limits = readLimits(callers);
		callers.rejectUnknownKeys();
		IniSection peers = this.file.section("peers");
		ListenAddress peerAddress = readAddress(peers);
		peers.rejectUnknownKeys();
		IniSection operators = this.file.section("operators");
		ListenAddress operatorAddress = readAddress(operators);
		String operatorToken = operators.required("token-sha256", Function.identity());
		operators.rejectUnknownKeys();
		PlatformAddresses platform = readPlatform();
		DispatchPolicy policy = readPolicy();
		IniSection logging = this.file.section("logging");
		LogFormat format = logging.optional("format", LogFormat.TEXT, (text) -> enumValue(LogFormat.class, text));
		logging.rejectUnknownKeys();
		this.file.throwIfInvalid();
		return new InstanceSettings(id, zone, callerAddress, peerAddress, operatorAddress, operatorToken, platform,
				policy, limits, shutdownDelay, drainTimeout, format);
	}

	private void rejectUnknownSections() {
		for (String name : this.file.sectionNames()) {
			if (!SECTIONS.contains(name)) {
				this.file.report(new Problem(name, "", "unknown section" + NearestName.hint(name, SECTIONS)));
			}
		}
	}

	private ListenAddress readAddress(IniSection section) {
		String host = section.optional("address", "127.0.0.1", Function.identity());
		return section.required("port", (text) -> new ListenAddress(host, Integer.parseInt(text)));
	}

	private CallerLimits readLimits(IniSection section) {
		CallerLimits defaults = CallerLimits.STANDARD;
		Integer bodyBytes = section.optional("body-bytes", defaults.bodyBytes(), SettingsReader::parsePositive);
		Integer concurrentRequests = section.optional("concurrent-requests", defaults.concurrentRequests(),
				SettingsReader::parsePositive);
		Duration maximumTimeout = section.optional("longest-timeout", defaults.maximumTimeout(), Duration::parse);
		// A value is null if it is invalid and was reported; the result is not used then.
		return (bodyBytes != null && concurrentRequests != null)
				? new CallerLimits(bodyBytes, concurrentRequests, maximumTimeout) : defaults;
	}

	private PlatformAddresses readPlatform() {
		IniSection section = this.file.section("platform");
		URI table = section.required("table", URI::create);
		String tableName = section.optional("table-name", "wagtailmux", Function.identity());
		URI objects = section.required("objects", URI::create);
		String bucket = section.optional("bucket", "wagtailmux", Function.identity());
		URI instances = section.required("instances", URI::create);
		Duration timeout = section.optional("timeout", Duration.ofSeconds(2), Duration::parse);
		section.rejectUnknownKeys();
		return new PlatformAddresses(table, tableName, objects, bucket, instances, timeout);
	}

	private DispatchPolicy readPolicy() {
		IniSection section = this.file.section("policy");
		DispatchPolicy defaults = DispatchPolicy.STANDARD;
		ChoicePolicy choice = section.optional("choice", defaults.choice(),
				(text) -> enumValue(ChoicePolicy.class, text));
		QueuePolicy queue = section.optional("queue", defaults.queue(), (text) -> enumValue(QueuePolicy.class, text));
		Boolean deadlineAware = section.optional("deadline-aware", defaults.deadlineAware(), Boolean::valueOf);
		section.rejectUnknownKeys();
		// Any text other than true counts as false.
		return new DispatchPolicy(choice, queue, deadlineAware == Boolean.TRUE);
	}

	private static <E extends Enum<E>> E enumValue(Class<E> type, String text) {
		return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	private static Integer parsePositive(String text) {
		int value = Integer.parseInt(text);
		if (value < 1) {
			throw new IllegalArgumentException("must be at least 1");
		}
		return value;
	}

}
