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
 * Stores accepted configurations: the INI text in the object store, the head in the
 * table.
 *
 * <p>
 * A configuration is accepted when its head is committed. The commit is conditional on
 * the version that the operator based the change on, so that concurrent changes do not
 * overwrite each other.
 *
 * @author the wagtailmux developers
 */
public final class ConfigurationStore {

	private static final int COMMIT_ATTEMPTS = 5;

	private final Gson gson = new Gson();

	private final Platform platform;

	private final TimeSource time;

	/**
	 * Creates the store.
	 * @param platform the platform's services
	 * @param time the clock for {@link ConfigurationHead#acceptedAt}
	 */
	public ConfigurationStore(Platform platform, TimeSource time) {
		this.platform = platform;
		this.time = time;
	}

	/**
	 * Reads the head of the current configuration.
	 * @return the head; empty if no configuration has been accepted yet
	 * @throws PlatformException if the table cannot be read
	 */
	public Optional<ConfigurationHead> head() {
		return this.platform.table().get(RecordKey.CONFIGURATION_HEAD).map(this::toHead);
	}

	/**
	 * Loads the configuration that a head refers to.
	 * @param head the head
	 * @return the configuration
	 * @throws PlatformException if the object is missing, cannot be read or is not a
	 * valid configuration
	 */
	public AcceptedConfiguration load(ConfigurationHead head) {
		byte[] body = this.platform.objects()
			.get(head.objectName())
			.orElseThrow(() -> new PlatformException(PlatformErrorCode.MALFORMED_ANSWER, "configuration "
					+ head.version() + ": object " + head.objectName() + " is missing from the object store", null));
		return AcceptedConfiguration.of(head.version(), new String(body, StandardCharsets.UTF_8));
	}

	/**
	 * Validates a configuration and accepts it unless another one has been accepted in
	 * the meantime. The text remains in the object store if it is not accepted. A failed
	 * commit is attempted up to five times, without a delay.
	 * @param text the INI text
	 * @param expectedVersion the current version, which it replaces; zero for the first
	 * @param acceptedBy the operator who requests the change
	 * @return the new version; empty if the current version is not the expected one
	 * @throws io.wagtailmux.store.ini.IniException if the text is not a valid
	 * configuration
	 * @throws PlatformException if a call to the platform failed; with
	 * {@link PlatformErrorCode#UNKNOWN_OUTCOME} the change may have been accepted
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
		return commitWithRetries(writes, token) ? Optional.of(version) : Optional.empty();
	}

	/**
	 * Reads the heads of all accepted configurations.
	 * @return the heads, oldest first
	 * @throws PlatformException if the table cannot be read
	 */
	public List<ConfigurationHead> history() {
		return this.platform.table().list(RecordKey.CONFIGURATION_HISTORY).stream().map(this::toHead).toList();
	}

	private boolean commitWithRetries(List<ConditionalWrite> writes, ClientToken token) {
		PlatformException last = null;
		for (int attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++) {
			try {
				return this.platform.table().commit(writes, token).committed() || isCurrentHead(token);
			}
			catch (PlatformException ex) {
				last = ex;
			}
		}
		throw last;
	}

	// A commit also conflicts with an earlier attempt of the same call whose answer was
	// lost; the token then shows that the change was accepted.
	private boolean isCurrentHead(ClientToken token) {
		return head().filter((head) -> head.token().equals(token.value())).isPresent();
	}

	private ConfigurationHead toHead(TableRecord record) {
		return this.gson.fromJson(record.value(), ConfigurationHead.class);
	}

	private static String digest(byte[] body) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new PlatformException(PlatformErrorCode.INVALID_CONFIGURATION,
					"SHA-256 is not available in this Java runtime", ex);
		}
	}

}
