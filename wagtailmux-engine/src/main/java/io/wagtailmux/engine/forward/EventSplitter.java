package io.wagtailmux.engine.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the bytes of a server-sent event stream after complete events, so that another
 * endpoint can continue a stream that failed within an event. The bytes are not changed.
 *
 * @author the wagtailmux developers
 */
final class EventSplitter {

	private static final byte LINE_FEED = '\n';

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf pending = Unpooled.buffer(256);

	private int scanIndex;

	private int lineStart;

	private Optional<String> eventId = Optional.empty();

	private Optional<String> lastEventId = Optional.empty();

	private int completeEvents;

	/**
	 * Adds bytes and returns the events that are complete with them.
	 * @param bytes the bytes; copied, not released
	 * @return the complete events, to be released by the caller; empty if there are none
	 */
	ByteBuf add(ByteBuf bytes) {
		this.pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
		int completeLength = scan();
		if (completeLength == 0) {
			return Unpooled.EMPTY_BUFFER;
		}
		ByteBuf events = this.pending.readBytes(completeLength);
		this.pending.discardReadBytes();
		this.scanIndex -= completeLength;
		this.lineStart -= completeLength;
		return events;
	}

	/**
	 * Returns the id of the last returned event that has one.
	 * @return the id; empty if no returned event has one
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns how many events were complete so far.
	 * @return the number
	 */
	int completeEvents() {
		return this.completeEvents;
	}

	/**
	 * Returns whether bytes of an incomplete event are pending.
	 * @return whether a stream that ends now ends within an event
	 */
	boolean hasPartialEvent() {
		return this.pending.isReadable();
	}

	/**
	 * Returns how many bytes of an incomplete event are pending.
	 * @return the number
	 */
	int partialBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Drops the bytes of an incomplete event.
	 */
	void dropPartialEvent() {
		this.pending.clear();
		this.scanIndex = 0;
		this.lineStart = 0;
		this.eventId = Optional.empty();
	}

	/**
	 * Searches for ends of events in the bytes that were not searched before.
	 * @return the number of bytes up to the end of the last complete event; zero if there
	 * is none
	 */
	private int scan() {
		int completeLength = 0;
		int length = this.pending.readableBytes();
		for (; this.scanIndex < length; this.scanIndex++) {
			if (this.pending.getByte(this.scanIndex) != LINE_FEED) {
				continue;
			}
			if (isBlank(this.lineStart, this.scanIndex)) {
				completeLength = this.scanIndex + 1;
				this.completeEvents++;
				this.lastEventId = this.eventId.isPresent() ? this.eventId : this.lastEventId;
				this.eventId = Optional.empty();
			}
			else {
				readId(this.lineStart, this.scanIndex);
			}
			this.lineStart = this.scanIndex + 1;
		}
		return completeLength;
	}

	private boolean isBlank(int from, int to) {
		return to == from || (to == from + 1 && this.pending.getByte(from) == '\r');
	}

	private void readId(int from, int to) {
		if (to - from < ID_FIELD.length) {
			return;
		}
		for (int index = 0; index < ID_FIELD.length; index++) {
			if (this.pending.getByte(from + index) != ID_FIELD[index]) {
				return;
			}
		}
		String value = this.pending.toString(from + ID_FIELD.length, to - from - ID_FIELD.length,
				StandardCharsets.UTF_8);
		this.eventId = Optional.of(value.trim());
	}

}
