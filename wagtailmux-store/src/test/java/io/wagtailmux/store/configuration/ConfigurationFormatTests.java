package io.wagtailmux.store.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.store.ini.IniException;
import io.wagtailmux.store.ini.Problem;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ConfigurationFormatTests {

	private static final String VALID_TEXT = """
			[availability-zone a]
			region = north
			[availability-zone b]
			region = north
			labels = tier=gold
			[link a b]
			one-way-delay = PT0.001S
			[pool service]
			protocol = service
			idempotent = false
			cold-limit = 1
			warm-limit = 4
			[endpoint one]
			pool = service
			availability-zone = a
			version = v1
			address = http://127.0.0.1:1
			[pool encode]
			protocol = inference
			idempotent = true
			warm-limit = 4
			[pipeline p]
			timeout = PT5S
			stages = x, y, z
			[stage p/x]
			pool = encode
			[stage p/y]
			pool = encode
			selector = version=v1
			[stage p/z]
			pool = service
			[organisation o]
			token-sha256 = %s
			weight = 2
			""".formatted("0".repeat(64));

	@Test
	void readsCompleteConfiguration() {
		SystemConfiguration configuration = ConfigurationFormat.read(VALID_TEXT);
		assertThat(configuration.zones()).hasSize(2);
		assertThat(configuration.pipelines().values()).singleElement()
			.satisfies((pipeline) -> assertThat(pipeline.stages()).hasSize(3));
		assertThat(configuration.endpoints()).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			warm-limit = 4 | warm-limt = 4          | pool service     | warm-limt         | did you mean 'warm-limit'
			pool = service | pool = servic          | endpoint one     | pool              | did you mean 'service'
			version = v1   | version = v 1          | endpoint one     | version           | not valid
			PT5S           | 5                      | pipeline p       | timeout           | not valid
			x, y, z        | x, y                   | pipeline p       | ''                | 2 stages
			x, y, z        | x, y, w                | pipeline p       | stages            | p/w
			[pool encode]  | [pol encode]           | pol encode       | ''                | did you mean 'pool'
			cold-limit = 1 | cold-limit = 9         | pool service     | ''                | cold-limit 9
			weight = 2     | weight = 0             | organisation o   | ''                | weight 0
			http://        | ftp://                 | endpoint one     | address           | http
			idempotent = false | idempotent = no    | pool service     | idempotent        | true or false
			labels = tier=gold | labels = tier      | availability-zone b | labels         | tier
			PT0.001S       | soon                   | link a b         | one-way-delay     | not valid
			""")
	void reportsSectionKeyAndReason(String from, String to, String section, String key, String reason) {
		String text = VALID_TEXT.replace(from, to);
		IniException exception = catchThrowableOfType(IniException.class, () -> ConfigurationFormat.read(text));
		assertThat(exception.problems()).anySatisfy((problem) -> {
			assertThat(problem.section()).isEqualTo(section);
			assertThat(problem.key()).isEqualTo(key);
			assertThat(problem.reason()).contains(reason);
		});
	}

	@Test
	void reportsAllProblems() {
		String text = VALID_TEXT.replace("weight = 2", "weight = 0")
			.replace("version = v1\naddress", "version = \naddress");
		IniException exception = catchThrowableOfType(IniException.class, () -> ConfigurationFormat.read(text));
		assertThat(exception.problems()).extracting(Problem::section)
			.containsAll(List.of("endpoint one", "organisation o"));
	}

}
