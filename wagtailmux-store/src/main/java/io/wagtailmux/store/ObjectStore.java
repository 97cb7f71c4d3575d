package io.wagtailmux.store;

import java.util.Optional;

/**
 * The platform's object store. Every operation may throw a {@link PlatformException}.
 *
 * @author the wagtailmux developers
 */
public interface ObjectStore {

	/**
	 * Writes an object. Its name must identify its content, as a name with a digest does,
	 * so that writing it again has no effect.
	 * @param name the object's name
	 * @param body the object's content
	 */
	void put(String name, byte[] body);

	/**
	 * Reads an object.
	 * @param name the object's name
	 * @return the object's content; empty if there is no such object
	 */
	Optional<byte[]> get(String name);

}
