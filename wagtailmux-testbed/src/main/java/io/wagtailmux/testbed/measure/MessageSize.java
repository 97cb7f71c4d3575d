package io.wagtailmux.testbed.measure;

/**
 * Size of a message between instances.
 *
 * @param message the kind of message
 * @param bytes the serialized size in bytes, without frame and TCP headers
 * @author the wagtailmux developers
 */
public record MessageSize(String message, int bytes) {

}
