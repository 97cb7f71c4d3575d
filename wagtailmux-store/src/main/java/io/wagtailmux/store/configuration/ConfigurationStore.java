package io.wagtailmux.store.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import com.google.gson.Gson;

import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.ClientToken;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.PlatformErrorCode;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableRecord;

/**
 * Keeps accepted configurations: the body in the object store, the head in the table.
 *
 * <p>
 * A configuration is accepted once its head is committed on the condition that the
 * version before it is the one that the operator saw.
 *
 * @author the wagtailmux developers
 */
public final class ConfigurationStore {

	private static final int ANSWER_ATTEMPTS = 5;

	private final Gson gson = new Gson();

	private final Platform platform;

	private final TimeSource time;

	/**
	 * Creates the store.
	 * @param platform the platform's services
	 * @param time the clock for the record of when a change was accepted
	 */
	public ConfigurationStore(Platform platform, TimeSource time) {
		this.platform = platform;
		this.time = time;
	}

	/**
	 * Reads the head.
	 * @return the head, or nothing if no configuration was accepted yet
	 */
	public Optional<ConfigurationHead> head() {
		return this.platform.table().get(RecordKey.CONFIGURATION_HEAD).map(this::headOf);
	}

	/**
	 * Reads the body of a head.
	 * @param head the head
	 * @return the configuration
	 */
	public AcceptedConfiguration load(ConfigurationHead head) {
		byte[] body = this.platform.objects()
			.get(head.objectName())
			.orElseThrow(() -> new PlatformException(PlatformErrorCode.MALFORMED_ANSWER,
					"configuration " + head.version() + ": object " + head.objectName() + " is missing", null));
		return AcceptedConfiguration.of(head.version(), new String(body, StandardCharsets.UTF_8));
	}

	/**
	 * Checks a configuration and has it accepted if no other was accepted meanwhile.
	 * @param text the INI text
	 * @param expectedVersion the version that it replaces; zero for the first
	 * @param acceptedBy who asks for the change
	 * @return the version that it has, or nothing if another change came first
	 * @throws PlatformException with {@link PlatformErrorCode#UNKNOWN_OUTCOME} if it
	 * could not be found out whether the change was accepted
	 */
	public Optional<Long> accept(String text, long expectedVersion, String acceptedBy) {
		ConfigurationFormat.read(text);
		byte[] body = text.getBytes(StandardCharsets.UTF_8);
		long version = expectedVersion + 1;
		String objectName = "configuration/" + version + "-" + digest(body);
		this.platform.objects().put(objectName, body);
		ClientToken token = ClientToken.random();
		ConfigurationHead head = new ConfigurationHead(version, objectName, acceptedBy, this.time.instant().toString(),
				token.value());
		String json = this.gson.toJson(head);
		List<ConditionalWrite> writes = List.of(
				ConditionalWrite.put(RecordKey.CONFIGURATION_HEAD, expectedVersion, json),
				ConditionalWrite.put(RecordKey.configuration(version), 0, json));
		return commit(writes, token) ? Optional.of(version) : Optional.empty();
	}

	/**
	 * Reads the heads of all configurations that were accepted.
	 * @return the heads, the oldest first
	 */
	public List<ConfigurationHead> history() {
		return this.platform.table().list(RecordKey.CONFIGURATION_HISTORY).stream().map(this::headOf).toList();
	}

	private boolean commit(List<ConditionalWrite> writes, ClientToken token) {
		PlatformException last = null;
		for (int attempt = 0; attempt < ANSWER_ATTEMPTS; attempt++) {
			try {
				return this.platform.table().commit(writes, token).committed() || isInForce(token);
			}
			catch (PlatformException ex) {
				last = ex;
			}
		}
		throw last;
	}

	private boolean isInForce(ClientToken token) {
		return head().filter((head) -> head.token().equals(token.value())).isPresent();
	}

	private ConfigurationHead headOf(TableRecord record) {
		return this.gson.fromJson(record.value(), ConfigurationHead.class);
	}

	private static String digest(byte[] body) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new PlatformException(PlatformErrorCode.INVALID_CONFIGURATION, "no SHA-256 in this runtime", ex);
		}
	}

}
