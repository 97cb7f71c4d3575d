package io.wagtailmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.daemon.traffic.ProblemCode;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentationTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)\\)");

	private static final Pattern KEY = Pattern
		.compile("(?:required|optional|requiredReference)\\((?:section, )?\"([a-z0-9-]+)\"");

	@ParameterizedTest
	@EnumSource(ProblemCode.class)
	void everyErrorCodeIsDocumented(ProblemCode code) throws IOException {
		assertThat(read("docs/OPERATIONS.md")).contains("| `" + code.wireName() + "` | " + code.status() + " |");
	}

	@ParameterizedTest
	@ValueSource(strings = { "wagtailmux-daemon/src/main/java/io/wagtailmux/daemon/settings/SettingsReader.java",
			"wagtailmux-store/src/main/java/io/wagtailmux/store/configuration/ConfigurationFormat.java" })
	void everyKeyIsDocumented(String source) throws IOException {
		String page = read("docs/SETTINGS.md");
		Matcher matcher = KEY.matcher(read(source));
		int keys = 0;
		while (matcher.find()) {
			assertThat(page).contains("`" + matcher.group(1) + "`");
			keys++;
		}
		assertThat(keys).isGreaterThan(10);
	}

	@Test
	void everyLinkTargetExists() throws IOException {
		for (Path page : pages()) {
			Matcher matcher = LINK.matcher(Files.readString(page));
			while (matcher.find()) {
				assertThat(page.resolveSibling(matcher.group(1))).as("link in " + page).exists();
			}
		}
	}

	@Test
	void everyMentionedCommandExists() throws IOException {
		Pattern command = Pattern.compile("bin/wagtailmux ([a-z-]+)");
		for (Path page : pages()) {
			Matcher matcher = command.matcher(Files.readString(page));
			while (matcher.find()) {
				assertThat(WagtailmuxCommand.run("help", matcher.group(1))).as(matcher.group())
					.isEqualTo(ExitCode.DONE);
			}
		}
	}

	private static List<Path> pages() throws IOException {
		try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
			return Stream
				.concat(Stream.of(ROOT.resolve("README.md")), docs.filter((path) -> path.toString().endsWith(".md")))
				.toList();
		}
	}

	private static String read(String file) throws IOException {
		return Files.readString(ROOT.resolve(file));
	}

}
