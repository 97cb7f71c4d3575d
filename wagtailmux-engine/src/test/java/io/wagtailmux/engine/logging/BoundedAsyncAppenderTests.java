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
 * The bound on log lines: decisions are bound, what operators must see is not.
 */
class BoundedAsyncAppenderTests {

	private static final long SECOND = 1_000_000;

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
	void linesOfTheBoundLoggerAreLimitedEachSecondAndTheDroppedOnesTold() {
		for (int line = 0; line < 25; line++) {
			write("decision", Level.INFO, "decision " + line, SECOND);
		}
		write("decision", Level.INFO, "later", SECOND + 1000);
		assertThat(written()).hasSize(12).contains("log lines dropped: 15").endsWith("later");
	}

	@Test
	void startsStopsAndWarningsAreToldWhateverTheLoad() {
		for (int line = 0; line < 25; line++) {
			write("decision", Level.INFO, "decision " + line, SECOND);
		}
		write("EngineProcess", Level.INFO, "stopping", SECOND);
		write("decision", Level.WARN, "odd", SECOND);
		assertThat(written()).contains("stopping", "odd");
	}

	private List<String> written() {
		this.appender.stop();
		return this.output.list.stream().map(ILoggingEvent::getMessage).toList();
	}

	private void write(String logger, Level level, String message, long millis) {
		LoggingEvent event = new LoggingEvent(null, this.context.getLogger(logger), level, message, null, null);
		event.setTimeStamp(millis);
		this.appender.doAppend(event);
	}

}
