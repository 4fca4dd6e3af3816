package org.yuccagw.adapters.http;

import com.google.common.collect.Comparators;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;

/** How long a kept connection may stay idle before it is used again. */
final class KeepAlive {
    /** Other sides that don't tell their timeout rarely have one below this. */
    private static final Duration USUAL = Duration.ofSeconds(4);

    /** The timeout runs at the other side, whose answer took a while to get here. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    private static final String TIMEOUT = "timeout=";

    private KeepAlive() {}

    /** The limit that an answer sets: none at all when the other side closes. */
    static Duration limit(HeaderMap answer) {
        String connection = answer.getFirst(Headers.CONNECTION);
        if (connection != null && connection.toLowerCase(java.util.Locale.ROOT).contains("close")) {
            return Duration.ZERO;
        }
        String told = answer.getFirst("Keep-Alive");
        int start = told == null ? -1 : told.indexOf(TIMEOUT);
        if (start < 0) {
            return USUAL;
        }
        String digits = told.substring(start + TIMEOUT.length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return USUAL;
        }
        Duration limit = Duration.ofSeconds(Long.parseLong(digits)).minus(MARGIN);
        return Comparators.min(limit, USUAL);
    }
}
