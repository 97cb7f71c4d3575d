package io.wagtailmux.engine.logging;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * Hands log lines to a thread of their own, of one logger at most so many a second, and
 * says how many were dropped.
 *
 * <p>
 * It never blocks: a line that finds the queue full or the second's lines used up is
 * dropped and counted. Only lines of the logger that writes in proportion to the load are
 * bound, and of these no warnings and errors; starts, stops and changed beliefs are
 * always told.
 *
 * @author the wagtailmux developers
 */
public final class BoundedAsyncAppender extends AsyncAppender {

	private static final long SECOND_MILLIS = 1000;

	private static final int STANDARD_LINES_PER_SECOND = 600;

	private final AtomicLong dropped = new AtomicLong();

	private int linesPerSecond = STANDARD_LINES_PER_SECOND;

	private String boundLogger = "";

	private long second;

	private int linesInSecond;

	/**
	 * Creates an appender that never blocks.
	 */
	public BoundedAsyncAppender() {
		setNeverBlock(true);
		setDiscardingThreshold(0);
	}

	/**
	 * Sets how many lines below warnings the bound logger may write in a second.
	 * @param lines the number of lines
	 */
	public void setLinesPerSecond(int lines) {
		this.linesPerSecond = lines;
	}

	/**
	 * Sets the logger whose lines are bound.
	 * @param name the logger's name
	 */
	public void setBoundLogger(String name) {
		this.boundLogger = name;
	}

	/**
	 * Returns how many lines were dropped and not yet told of.
	 * @return the number of lines
	 */
	public long dropped() {
		return this.dropped.get();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!allowed(event) || getRemainingCapacity() == 0) {
			this.dropped.incrementAndGet();
			return;
		}
		super.append(event);
	}

	private synchronized boolean allowed(ILoggingEvent event) {
		long now = event.getTimeStamp() / SECOND_MILLIS;
		if (now != this.second) {
			this.second = now;
			this.linesInSecond = 0;
			tellDropped(event);
		}
		boolean bound = event.getLoggerName().equals(this.boundLogger)
				&& !event.getLevel().isGreaterOrEqual(Level.WARN);
		if (!bound) {
			return true;
		}
		this.linesInSecond++;
		return this.linesInSecond <= this.linesPerSecond;
	}

	private void tellDropped(ILoggingEvent event) {
		long lines = this.dropped.getAndSet(0);
		if (lines == 0) {
			return;
		}
		LoggingEvent told = new LoggingEvent();
		told.setLevel(Level.WARN);
		told.setLoggerName(BoundedAsyncAppender.class.getName());
		told.setThreadName(event.getThreadName());
		told.setMessage("log lines dropped: " + lines);
		told.setTimeStamp(event.getTimeStamp());
		// Without it the line would ask for a logger context, which it does not have.
		told.setMDCPropertyMap(Map.of());
		super.append(told);
	}

}
