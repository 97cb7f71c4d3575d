package io.wagtailmux.daemon.control;

import java.util.Optional;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.configuration.AcceptedConfiguration;
import io.wagtailmux.store.configuration.ConfigurationHead;
import io.wagtailmux.store.configuration.ConfigurationStore;

/**
 * Reads newer configurations from the platform's store. Each run reads the head record
 * and passes the configuration to the listener only if its version is newer than the last
 * one passed; an error of the platform is logged, and the next run tries again. Runs must
 * not overlap.
 *
 * @author the wagtailmux developers
 */
final class ConfigurationPoller implements Runnable {

	private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPoller.class);

	private final ConfigurationStore store;

	private final Consumer<AcceptedConfiguration> listener;

	private long seenVersion;

	ConfigurationPoller(ConfigurationStore store, Consumer<AcceptedConfiguration> listener) {
		this.store = store;
		this.listener = listener;
	}

	@Override
	public void run() {
		try {
			Optional<ConfigurationHead> head = this.store.head();
			if (head.isPresent() && head.get().version() > this.seenVersion) {
				this.listener.accept(this.store.load(head.get()));
				this.seenVersion = head.get().version();
			}
		}
		catch (PlatformException ex) {
			LOG.warn("failed to read the configuration: {}", ex.getMessage());
		}
	}

}
