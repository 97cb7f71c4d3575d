package io.wagtailmux.engine.logging;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * Asynchronous appender that limits the lines per second of one logger and logs how many
 * lines were dropped.
 *
 * <p>
 * It never blocks: a line is dropped and counted if the queue is full or the limit of the
 * current second is reached. The number of dropped lines is logged before the first line
 * of a later second. Only the logger whose output grows with the load is limited, and
 * only below the level of warnings, so that starts, stops and changes in the state of
 * endpoints and instances are logged under any load unless the queue is full.
 *
 * @author the wagtailmux developers
 */
public final class BoundedAsyncAppender extends AsyncAppender {

	private static final long MILLIS_PER_SECOND = 1000;

	private static final int DEFAULT_LINES_PER_SECOND = 600;

	private final AtomicLong dropped = new AtomicLong();

	private int linesPerSecond = DEFAULT_LINES_PER_SECOND;

	private String boundLogger = "";

	private long currentSecond;

	private int linesInSecond;

	/**
	 * Creates an appender that never blocks.
	 */
	public BoundedAsyncAppender() {
		setNeverBlock(true);
		setDiscardingThreshold(0);
	}

	/**
	 * Sets how many lines below the level of warnings the limited logger may write per
	 * second.
	 * @param lines the number of lines; 600 unless set
	 */
	public void setLinesPerSecond(int lines) {
		this.linesPerSecond = lines;
	}

	/**
	 * Sets the logger whose lines are limited.
	 * @param name the exact name of the logger; empty, the default, limits none
	 */
	public void setBoundLogger(String name) {
		this.boundLogger = name;
	}

	/**
	 * Returns how many lines were dropped since the last report in the log.
	 * @return the number of lines
	 */
	public long dropped() {
		return this.dropped.get();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!withinLimit(event) || getRemainingCapacity() == 0) {
			this.dropped.incrementAndGet();
			return;
		}
		super.append(event);
	}

	private synchronized boolean withinLimit(ILoggingEvent event) {
		long eventSecond = event.getTimeStamp() / MILLIS_PER_SECOND;
		if (eventSecond != this.currentSecond) {
			this.currentSecond = eventSecond;
			this.linesInSecond = 0;
			reportDropped(event);
		}
		boolean limited = event.getLoggerName().equals(this.boundLogger)
				&& !event.getLevel().isGreaterOrEqual(Level.WARN);
		if (!limited) {
			return true;
		}
		this.linesInSecond++;
		return this.linesInSecond <= this.linesPerSecond;
	}

	private void reportDropped(ILoggingEvent event) {
		long lines = this.dropped.getAndSet(0);
		if (lines == 0) {
			return;
		}
		LoggingEvent report = new LoggingEvent();
		report.setLevel(Level.WARN);
		report.setLoggerName(BoundedAsyncAppender.class.getName());
		report.setThreadName(event.getThreadName());
		report.setMessage("log lines dropped: " + lines);
		report.setTimeStamp(event.getTimeStamp());
		// Without a map the event would read the MDC from its logger context, which is
		// null.
		report.setMDCPropertyMap(Map.of());
		super.append(report);
	}

}
