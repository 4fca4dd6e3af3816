package org.yuccagw.adapters.http;

import com.google.common.base.CharMatcher;

/**
 * The first line of a response: {@code HTTP/1.1 200 OK}. The reason may be absent, and the blank before it.
 *
 * @param isOldProtocol whether the server speaks HTTP/1.0, which knows no chunks and keeps no connections by default
 */
record StatusLine(int status, boolean isOldProtocol) {
    private static final String PROTOCOL = "HTTP/1.1 ";
    private static final String OLD_PROTOCOL = "HTTP/1.0 ";
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    /**
     * Parses a line without control characters.
     *
     * @throws InvalidResponseException if it is no status line, or if its status can't be used: no request asks for
     *     another protocol
     */
    static StatusLine parse(String line) throws InvalidResponseException {
        boolean isOldProtocol = line.startsWith(OLD_PROTOCOL);
        int statusEnd = PROTOCOL.length() + STATUS_DIGITS;
        boolean isComplete = (isOldProtocol || line.startsWith(PROTOCOL))
                && line.length() >= statusEnd
                && DIGITS.matchesAllOf(line.substring(PROTOCOL.length(), statusEnd))
                && (line.length() == statusEnd || line.charAt(statusEnd) == ' ');
        if (!isComplete) {
            throw new InvalidResponseException(ResponseDefect.STATUS_LINE);
        }
        int status = Integer.parseInt(line.substring(PROTOCOL.length(), statusEnd));
        if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
            throw new InvalidResponseException(ResponseDefect.STATUS);
        }
        return new StatusLine(status, isOldProtocol);
    }

    /** Returns whether another response follows, which is the one to the request. */
    boolean isInterim() {
        return status < FIRST_FINAL_STATUS;
    }
}
