package io.wagtailmux.engine.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

import io.wagtailmux.engine.port.ProtocolErrorCode;
import io.wagtailmux.engine.port.ProtocolException;

/**
 * Encodes and decodes Thrift messages in the compact protocol. Thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class ThriftCodec {

	private ThriftCodec() {
	}

	/**
	 * Encodes a message as a byte array.
	 * @param message the message, with all required fields set
	 * @return the encoded bytes
	 * @throws IllegalStateException if a required field is not set
	 */
	public static byte[] encodeToBytes(TBase<?, ?> message) {
		try {
			return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot encode " + message, ex);
		}
	}

	/**
	 * Encodes a message as the body of a request or response.
	 * @param message the message, with all required fields set
	 * @return a buffer with the encoded bytes, owned by the caller
	 * @throws IllegalStateException if a required field is not set
	 */
	public static ByteBuf encode(TBase<?, ?> message) {
		return Unpooled.wrappedBuffer(encodeToBytes(message));
	}

	/**
	 * Decodes a message from a buffer.
	 * @param <T> the type of the message
	 * @param body the encoded bytes; not released, and its reader index does not change
	 * @param empty a new message, into which the fields are decoded; after an exception
	 * some of them may be set
	 * @return {@code empty}
	 * @throws ProtocolException if the bytes are not a valid message of this type
	 */
	public static <T extends TBase<?, ?>> T decode(ByteBuf body, T empty) {
		return decode(ByteBufUtil.getBytes(body), empty);
	}

	/**
	 * Decodes a message from a byte array.
	 * @param <T> the type of the message
	 * @param bytes the encoded bytes
	 * @param empty a new message, into which the fields are decoded; after an exception
	 * some of them may be set
	 * @return {@code empty}
	 * @throws ProtocolException if the bytes are not a valid message of this type
	 */
	public static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) {
		try {
			new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, bytes);
			return empty;
		}
		catch (TException ex) {
			throw new ProtocolException(ProtocolErrorCode.MALFORMED_BODY,
					empty.getClass().getSimpleName() + ": " + ex.getMessage());
		}
	}

}
