package org.yuccagw.adapters.http;

import com.google.common.collect.Comparators;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Locale;

/** Determines how long a connection may stay idle and still be reused. */
final class KeepAlive {
    /** Servers that don't send their idle timeout rarely have a shorter one. */
    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(4);

    /** Deducted because the server's timeout starts when it sends the response, before the response arrives here. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private KeepAlive() {}

    /** Returns the idle time that a response allows; servers of HTTP/1.0 close their connections. */
    static Duration idleLimit(boolean isOldProtocol, HeaderMap responseHeaders) {
        return isOldProtocol ? Duration.ZERO : idleLimit(responseHeaders);
    }

    /**
     * Returns the idle time that the headers of a response allow, at most 4 s.
     *
     * <p>It is zero if the server closes the connection, and zero or negative if the announced timeout isn't longer
     * than the margin; the connection isn't reused then. Example: {@code Keep-Alive: timeout=2} gives 1.5 s.
     */
    static Duration idleLimit(HeaderMap responseHeaders) {
        HeaderValues connection = responseHeaders.get(Headers.CONNECTION);
        if (connection != null && connection.stream().anyMatch(KeepAlive::namesClose)) {
            return Duration.ZERO;
        }
        String keepAlive = responseHeaders.getFirst("Keep-Alive");
        int timeoutIndex = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
        if (timeoutIndex < 0) {
            return DEFAULT_LIMIT;
        }
        String digits =
                keepAlive.substring(timeoutIndex + TIMEOUT_PARAMETER.length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return DEFAULT_LIMIT;
        }
        Duration idleLimit = Duration.ofSeconds(Long.parseLong(digits)).minus(MARGIN);
        return Comparators.min(idleLimit, DEFAULT_LIMIT);
    }

    private static boolean namesClose(String options) {
        return options.toLowerCase(Locale.ROOT).contains("close");
    }
}
