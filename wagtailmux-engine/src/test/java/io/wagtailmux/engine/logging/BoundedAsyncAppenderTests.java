package io.wagtailmux.engine.logging;

import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limit on log lines: decisions are limited, lines that operators must see are not.
 */
class BoundedAsyncAppenderTests {

	private static final long START_MILLIS = 1_000_000;

	private final LoggerContext context = new LoggerContext();

	private final ListAppender<ILoggingEvent> output = new ListAppender<>();

	private final BoundedAsyncAppender appender = new BoundedAsyncAppender();

	@BeforeEach
	void start() {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		this.output.setContext(this.context);
		this.output.start();
		this.appender.setContext(this.context);
		this.appender.setBoundLogger("decision");
		this.appender.setLinesPerSecond(10);
		this.appender.addAppender(this.output);
		this.appender.start();
	}

	@Test
	void linesOfTheBoundLoggerAreLimitedPerSecondAndDroppedLinesReported() {
		for (int line = 0; line < 25; line++) {
			write("decision", Level.INFO, "decision " + line, START_MILLIS);
		}
		write("decision", Level.INFO, "later", START_MILLIS + 1000);
		assertThat(written()).hasSize(12).contains("log lines dropped: 15").endsWith("later");
	}

	@Test
	void startsStopsAndWarningsAreWrittenUnderAnyLoad() {
		for (int line = 0; line < 25; line++) {
			write("decision", Level.INFO, "decision " + line, START_MILLIS);
		}
		write("EngineProcess", Level.INFO, "stopping", START_MILLIS);
		write("decision", Level.WARN, "odd", START_MILLIS);
		assertThat(written()).contains("stopping", "odd");
	}

	private List<String> written() {
		this.appender.stop();
		return this.output.list.stream().map(ILoggingEvent::getMessage).toList();
	}

	private void write(String logger, Level level, String message, long timestampMillis) {
		LoggingEvent event = new LoggingEvent(null, this.context.getLogger(logger), level, message, null, null);
		event.setTimeStamp(timestampMillis);
		this.appender.doAppend(event);
	}

}
