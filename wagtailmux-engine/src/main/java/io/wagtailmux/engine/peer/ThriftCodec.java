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
 * Turns messages between instances into bytes and back.
 *
 * @author the wagtailmux developers
 */
public final class ThriftCodec {

	private ThriftCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return its bytes
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
	 * Encodes a message as the body of a request.
	 * @param message the message
	 * @return its bytes
	 */
	public static ByteBuf encode(TBase<?, ?> message) {
		return Unpooled.wrappedBuffer(encodeToBytes(message));
	}

	/**
	 * Decodes a message.
	 * @param <T> the type of the message
	 * @param body the bytes
	 * @param empty an empty message, which is filled
	 * @return the same message
	 * @throws ProtocolException if the bytes are no such message
	 */
	public static <T extends TBase<?, ?>> T decode(ByteBuf body, T empty) {
		return decode(ByteBufUtil.getBytes(body), empty);
	}

	/**
	 * Decodes a message.
	 * @param <T> the type of the message
	 * @param bytes the bytes
	 * @param empty an empty message, which is filled
	 * @return the same message
	 * @throws ProtocolException if the bytes are no such message
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
