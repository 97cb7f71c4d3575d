package io.wagtailmux.engine.peer;

import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.era.KnownRow;
import io.wagtailmux.decision.era.RowContent;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.peer.wire.KnownRowMessage;
import io.wagtailmux.peer.wire.KnownTableMessage;
import io.wagtailmux.peer.wire.RowContentMessage;

/**
 * Converts what instances know of the rows of a table to messages and back.
 *
 * @author the wagtailmux developers
 */
public final class KnownRowMessages {

	private KnownRowMessages() {
	}

	/**
	 * Encodes the rows of a table.
	 * @param table the name of the table
	 * @param era the era of the store in which they were read
	 * @param rows the rows
	 * @return the message
	 */
	public static KnownTableMessage message(String table, long era, List<KnownRow> rows) {
		return new KnownTableMessage(table, era, rows.stream().map(KnownRowMessages::message).toList());
	}

	/**
	 * Decodes the rows of a table.
	 * @param message the message
	 * @return the rows
	 */
	public static List<KnownRow> rows(KnownTableMessage message) {
		return message.getRows().stream().map(KnownRowMessages::row).toList();
	}

	private static KnownRowMessage message(KnownRow row) {
		KnownRowMessage message = new KnownRowMessage(row.key(),
				row.earlier().stream().map(KnownRowMessages::message).toList(), row.number(), row.first().era(),
				row.first().number());
		row.current().ifPresent((content) -> message.setCurrent(message(content)));
		return message;
	}

	private static RowContentMessage message(RowContent content) {
		RowContentMessage message = new RowContentMessage();
		message.setValue(content.value());
		return message.setNumbers(content.numbers());
	}

	private static KnownRow row(KnownRowMessage message) {
		return new KnownRow(message.getKey(), Optional.ofNullable(message.getCurrent()).map(KnownRowMessages::content),
				message.getEarlier().stream().map(KnownRowMessages::content).toList(), message.getNumber(),
				new StoreVersion(message.getFirstEra(), message.getFirstNumber()));
	}

	private static RowContent content(RowContentMessage message) {
		return new RowContent(message.getValue(), message.getNumbers());
	}

}
