package io.wagtailmux.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.wagtailmux.daemon.DaemonErrorCode;
import io.wagtailmux.daemon.DaemonException;
import io.wagtailmux.decision.queue.QueuePolicy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsReaderTests {

	private static final Path EXAMPLE = Path.of("../examples/instance-1.ini");

	@Test
	void readsExampleSettings() {
		for (int number = 1; number <= 3; number++) {
			InstanceSettings settings = SettingsReader.read(Path.of("../examples/instance-" + number + ".ini"));
			assertThat(settings.id().value()).isEqualTo("entry-" + number);
			assertThat(settings.policy().queue()).isEqualTo(QueuePolicy.FAIR);
		}
	}

	@ParameterizedTest
	@CsvSource({ "port = 8001, prot = 8001, [callers] prot, did you mean 'port'",
			"port = 8001, port = 99999, [callers] port, 65535", "[logging], [loging], [loging], did you mean 'logging'",
			"format = text, format = xml, [logging] format, xml", "id = entry-1, id =, [instance] id, InstanceId",
			"port = 8001, , [callers] port, is missing" })
	void reportsSectionKeyAndReason(String original, String replacement, String location, String reason)
			throws IOException {
		String text = Files.readString(EXAMPLE).replace(original, (replacement != null) ? replacement : "");
		assertThatExceptionOfType(DaemonException.class).isThrownBy(() -> SettingsReader.parse(text))
			.withMessageContaining(location)
			.withMessageContaining(reason)
			.extracting(DaemonException::code)
			.isEqualTo(DaemonErrorCode.INVALID_SETTINGS);
	}

}
