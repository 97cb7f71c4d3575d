package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Parses the {@code Keep-Alive} header, by which the remote side states how long it keeps
 * an idle connection open.
 *
 * @author the wagtailmux developers
 */
final class KeepAliveHeader {

	/**
	 * How long an idle connection is considered usable if the remote side states no
	 * limit.
	 */
	static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(4);

	/**
	 * Subtracted from the stated limit: the remote side may close the connection while a
	 * request sent shortly before the limit is on its way.
	 */
	private static final Duration CLOSE_RACE_MARGIN = Duration.ofMillis(500);

	private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("timeout=(\\d{1,6})");

	private KeepAliveHeader() {
	}

	/**
	 * Returns how long a connection may be idle before it is no longer reused.
	 * @param headers the headers of the last response on the connection
	 * @return the stated timeout less the margin, but not negative; the default if the
	 * header is missing or states no timeout
	 */
	static Duration idleLimit(HttpHeaders headers) {
		String value = headers.get("Keep-Alive");
		if (value == null) {
			return DEFAULT_IDLE_LIMIT;
		}
		Matcher matcher = TIMEOUT_PARAMETER.matcher(value);
		if (!matcher.find()) {
			return DEFAULT_IDLE_LIMIT;
		}
		Duration limit = Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(CLOSE_RACE_MARGIN);
		return limit.isNegative() ? Duration.ZERO : limit;
	}

}
