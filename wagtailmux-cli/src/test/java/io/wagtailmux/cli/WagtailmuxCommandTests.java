package io.wagtailmux.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;

import static org.assertj.core.api.Assertions.assertThat;

class WagtailmuxCommandTests {

	@TempDir
	private Path folder;

	@ParameterizedTest
	@ValueSource(strings = { "demo --bogus", "nothing", "apply", "apply /nowhere.ini", "experiment nothing",
			"status --operator nonsense" })
	void invalidArgumentsAreUsageErrors(String line) {
		assertThat(WagtailmuxCommand.run(line.split(" "))).isEqualTo(ExitCode.USAGE);
	}

	@ParameterizedTest
	@ValueSource(strings = { "help", "help demo", "--version", "experiment list" })
	void helpAndVersionSucceed(String line) {
		assertThat(WagtailmuxCommand.run(line.split(" "))).isEqualTo(ExitCode.DONE);
	}

	@ParameterizedTest
	@EnumSource(ExampleConfiguration.class)
	void demoSucceedsWithEachExample(ExampleConfiguration example) {
		assertThat(WagtailmuxCommand.run("demo", "--example", example.name(), "--output", "json"))
			.isEqualTo(ExitCode.DONE);
	}

	@Test
	void statusOfUnreachableInstanceExitsWithUnreachable() {
		assertThat(WagtailmuxCommand.run("status", "--operator", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNREACHABLE);
	}

	// Without --operator the addresses come from the environment or are the default.
	@ParameterizedTest
	@ValueSource(strings = { "status", "config", "config history", "zone out perth-a", "endpoint drain one",
			"diff ../examples/pemberton.ini", "apply ../examples/pemberton.ini" })
	void commandsNeedNoOperatorOption(String line) {
		assertThat(WagtailmuxCommand.run(line.split(" "))).isIn(ExitCode.UNREACHABLE, ExitCode.USAGE);
	}

	@Test
	void changeIsAppliedOnAllInstancesOrRejected() throws IOException {
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PUMBAVAHTI.text(), 2,
				DispatchPolicy.STANDARD)) {
			String operators = deployment.instances()
				.stream()
				.map((instance) -> "http://127.0.0.1:" + instance.operatorPort())
				.collect(Collectors.joining(","));
			Path file = this.folder.resolve("changed.ini");
			Files.writeString(file, deployment.endpoints().text() + "\n[pool more]\nprotocol = service\n"
					+ "idempotent = true\nwarm-limit = 2\n");
			String[] apply = { "apply", file.toString(), "--operator", operators, "--token", "operator", "--expect",
					"1" };
			assertThat(WagtailmuxCommand.run(apply)).isEqualTo(ExitCode.DONE);
			assertThat(WagtailmuxCommand.run(apply)).isEqualTo(ExitCode.CONFLICT);
			assertThat(output("status", "--operator", operators, "--token", "operator", "--output", "json"))
				.containsSubsequence("\"configurationVersion\":2", "\"configurationVersion\":2");
			assertThat(WagtailmuxCommand.run("status", "--operator", operators, "--token", "wrong"))
				.isEqualTo(ExitCode.USAGE);
			String[] access = { "--operator", operators, "--token", "operator" };
			assertThat(output("diff", access[0], access[1], access[2], access[3], file.toString()))
				.contains("0 changes");
			assertThat(output("config", access[0], access[1], access[2], access[3], "history"))
				.containsSubsequence("1  ", "2  ");
			assertThat(WagtailmuxCommand.run("config", access[0], access[1], access[2], access[3], "rollback", "1"))
				.isEqualTo(ExitCode.DONE);
			assertThat(output("diff", access[0], access[1], access[2], access[3], file.toString()))
				.contains("added pool more", "1 changes");
			assertThat(output("status", "--operator", operators, "--token", "operator", "--output", "json"))
				.containsSubsequence("\"configurationVersion\":3", "\"configurationVersion\":3");
			Files.writeString(file, "[pool more]\nprotocol = service\n");
			assertThat(WagtailmuxCommand.run(apply)).isEqualTo(ExitCode.USAGE);
		}
	}

	@Test
	void availabilityZoneIsTakenOutOfServiceAndReturned() {
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PUMBAVAHTI.text(), 2,
				DispatchPolicy.STANDARD)) {
			String operator = "http://127.0.0.1:" + deployment.instances().get(0).operatorPort();
			String[] access = { "--operator", operator, "--token", "operator" };
			assertThat(WagtailmuxCommand.run("zone", access[0], access[1], access[2], access[3], "out", "rkv"))
				.isEqualTo(ExitCode.DONE);
			assertThat(output("config", access[0], access[1], access[2], access[3])).contains("out = true");
			assertThat(WagtailmuxCommand.run("zone", access[0], access[1], access[2], access[3], "return", "rkv"))
				.isEqualTo(ExitCode.DONE);
			assertThat(output("config", access[0], access[1], access[2], access[3])).contains("out = false");
			assertThat(WagtailmuxCommand.run("zone", access[0], access[1], access[2], access[3], "out", "nowhere"))
				.isEqualTo(ExitCode.USAGE);
			assertThat(WagtailmuxCommand.run("endpoint", access[0], access[1], access[2], access[3], "drain",
					"vahti-llm-1"))
				.isEqualTo(ExitCode.DONE);
			assertThat(output("config", access[0], access[1], access[2], access[3])).contains("leaving = true");
		}
	}

	private static String output(String... arguments) {
		PrintStream before = System.out;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		try {
			assertThat(WagtailmuxCommand.run(arguments)).isEqualTo(ExitCode.DONE);
		}
		finally {
			System.setOut(before);
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
