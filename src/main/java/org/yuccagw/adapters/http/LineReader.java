package org.yuccagw.adapters.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects a line of a response, whose bytes may arrive in any portions. A line ends with CR LF and holds no other
 * control character than tabs.
 */
final class LineReader {
    private static final int INITIAL_BYTES = 128;
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final byte TAB = '\t';
    private static final byte FIRST_PRINTABLE = ' ';
    private static final byte DELETE = 0x7f;

    private byte[] line = new byte[INITIAL_BYTES];
    private int length;
    private boolean endBegun;

    /**
     * Reads up to the end of the line.
     *
     * @return whether the line is complete
     * @throws InvalidResponseException at the first byte that can't belong to a line
     */
    boolean read(ByteBuffer received) throws InvalidResponseException {
        while (received.hasRemaining()) {
            byte next = received.get();
            if (endBegun) {
                if (next != LINE_FEED) {
                    throw new InvalidResponseException(ResponseDefect.CONTROL_CHARACTER);
                }
                return true;
            }
            if (next == CARRIAGE_RETURN) {
                endBegun = true;
            } else {
                add(next);
            }
        }
        return false;
    }

    /** Returns the number of bytes of the line that have arrived, without those of its end. */
    int length() {
        return length;
    }

    /** Returns the complete line without its end, and begins the next one. */
    String take() {
        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
        length = 0;
        endBegun = false;
        return text;
    }

    private void add(byte next) throws InvalidResponseException {
        boolean isControl = next >= 0 && next < FIRST_PRINTABLE && next != TAB;
        if (isControl || next == DELETE) {
            throw new InvalidResponseException(ResponseDefect.CONTROL_CHARACTER);
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length] = next;
        length++;
    }
}
