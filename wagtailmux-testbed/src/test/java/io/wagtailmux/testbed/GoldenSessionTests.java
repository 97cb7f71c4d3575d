package io.wagtailmux.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.store.configuration.ConfigurationFormat;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the responses of a session on each pipeline of each example configuration with
 * a golden file. {@code -Dgolden.write=true} overwrites the files. Generated ids are
 * numbered in the order of their appearance.
 */
class GoldenSessionTests {

	private static final Path FOLDER = Path.of("src/test/resources/golden");

	private static final Pattern ID = Pattern.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}");

	private static final Map<ExampleConfiguration, LocalDeployment> DEPLOYMENTS = new HashMap<>();

	private final CallerClient client = new CallerClient();

	private final Map<String, String> numberedIds = new HashMap<>();

	static Stream<Session> sessions() {
		return Stream.of(ExampleConfiguration.values())
			.flatMap((example) -> ConfigurationFormat.read(example.text())
				.pipelines()
				.values()
				.stream()
				.map((pipeline) -> new Session(example, pipeline)));
	}

	@AfterAll
	static void stop() {
		DEPLOYMENTS.values().forEach(LocalDeployment::close);
		DEPLOYMENTS.clear();
	}

	@ParameterizedTest
	@MethodSource("sessions")
	void aSessionMatchesItsGoldenFile(Session session) throws IOException {
		LocalDeployment deployment = DEPLOYMENTS.computeIfAbsent(session.example,
				(example) -> new LocalDeployment(example.text(), 2, DispatchPolicy.STANDARD));
		String transcript = transcript(deployment, session);
		Path file = FOLDER.resolve(session + ".txt");
		if (Boolean.getBoolean("golden.write")) {
			Files.createDirectories(FOLDER);
			Files.writeString(file, transcript);
		}
		assertThat(transcript).isEqualTo(Files.readString(file));
	}

	private String transcript(LocalDeployment deployment, Session session) {
		List<String> organisations = deployment.endpoints()
			.configuration()
			.organisations()
			.values()
			.stream()
			.map(Organisation::id)
			.map(Object::toString)
			.sorted()
			.toList();
		StringBuilder transcript = new StringBuilder();
		ClientRequest request = ClientRequest.of(session.pipeline.id().value(), "token-" + organisations.get(0),
				"the words of " + organisations.get(0));
		ClientRequest keyWithSpaces = request.withKey("golden " + session);
		write(transcript, "plain", this.client.send(deployment.callerAddresses().get(0), request));
		write(transcript, "keyed",
				this.client.send(deployment.callerAddresses().get(0), request.withKey("key-" + session)));
		write(transcript, "keyed again, at the other instance",
				this.client.send(deployment.callerAddresses().get(1), request.withKey("key-" + session)));
		write(transcript, "streamed", this.client.send(deployment.callerAddresses().get(1), request.asStream()));
		write(transcript, "key with spaces", this.client.send(deployment.callerAddresses().get(0), keyWithSpaces));
		write(transcript, "wrong token", this.client.send(deployment.callerAddresses().get(0),
				ClientRequest.of(session.pipeline.id().value(), "wrong", "words")));
		return transcript.toString();
	}

	private void write(StringBuilder transcript, String title, CallerAnswer answer) {
		transcript.append("== ").append(title).append('\n');
		transcript.append("status ").append(answer.status()).append('\n');
		transcript.append(withNumberedIds(answer.body().toString())).append('\n');
		if (!answer.tokens().isEmpty()) {
			transcript.append("tokens ").append(withNumberedIds(answer.tokens())).append('\n');
		}
	}

	private String withNumberedIds(String text) {
		return ID.matcher(text)
			.replaceAll((match) -> this.numberedIds.computeIfAbsent(match.group(),
					(id) -> "id-" + (this.numberedIds.size() + 1)));
	}

	private record Session(ExampleConfiguration example, Pipeline pipeline) {

		@Override
		public String toString() {
			return this.example.name().toLowerCase(Locale.ROOT) + "-" + this.pipeline.id();
		}

	}

}
