package org.yuccagw.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.yuccagw.core.port.BodyEnd;

/**
 * Finds the ends of server-sent events in a stream of bytes and records the id of the last complete one. It keeps no
 * events.
 *
 * <p>An event ends with an empty line. Example: after {@code id: 3\ndata: a\n\nid: 4\nda} one event is complete,
 * {@link #lastId()} is 3, and the scanner is inside an event.
 */
public final class EventScanner {
    /** Id before the first event of a stream. */
    public static final long NO_ID = -1;

    private static final String ID_FIELD = "id:";

    /** Enough for the field name and the digits of a long. A longer line can't hold a valid id. */
    private static final int MAX_ID_LINE_BYTES = 40;

    private final byte[] lineStart = new byte[MAX_ID_LINE_BYTES];
    private int lineBytes;
    private boolean eventHasLines;
    private boolean insideEvent;
    private long eventId = NO_ID;
    private long lastId;
    private long completeEvents;
    private boolean senderHasEvents;
    private boolean mayBeEmpty;

    private EventScanner(long lastId) {
        this.lastId = lastId;
        this.mayBeEmpty = lastId != NO_ID;
    }

    /** Returns a scanner of a whole stream. */
    public static EventScanner fromStart() {
        return new EventScanner(NO_ID);
    }

    /** Returns a scanner of a stream that starts after the event with the id. */
    public static EventScanner after(long lastId) {
        return new EventScanner(lastId);
    }

    /**
     * Scans the remaining bytes of the buffer, which is left unchanged.
     *
     * @return number of these bytes up to the end of the last event or empty line that ends in them, 0 if none does
     */
    public int scan(ByteBuffer bytes) {
        int begin = bytes.position();
        int scannedToEnd = 0;
        for (int index = begin; index < bytes.limit(); index++) {
            byte next = bytes.get(index);
            insideEvent = true;
            if (next == '\n') {
                if (endLine()) {
                    scannedToEnd = index + 1 - begin;
                }
            } else if (next != '\r') {
                addToLine(next);
            }
        }
        return scannedToEnd;
    }

    /** Returns the id of the last complete event. */
    public long lastId() {
        return lastId;
    }

    /** Returns the number of events that are complete. */
    public long completeEvents() {
        return completeEvents;
    }

    /** Returns whether an event has started and its end has not arrived. */
    public boolean isInsideEvent() {
        return insideEvent;
    }

    /**
     * Returns why the stream isn't complete although its sender ended it; empty if it is. A sender that fails may end
     * its connection, or even its chunks, in the same way as one that has sent everything.
     *
     * @param end what showed the end
     */
    public Optional<String> defectAtEnd(BodyEnd end) {
        if (insideEvent) {
            return Optional.of("the stream ended inside an event");
        }
        boolean lacksEvents = !senderHasEvents && !mayBeEmpty;
        return lacksEvents && end == BodyEnd.CONNECTION
                ? Optional.of("the connection ended before its first event")
                : Optional.empty();
    }

    /**
     * Continues with the bytes of another sender, which follow the last complete event. The bytes of the incomplete one
     * are discarded. The stream had not ended, so it isn't complete without an event of the new sender.
     */
    public void continueWithOtherSender() {
        beginEvent();
        senderHasEvents = false;
        mayBeEmpty = false;
    }

    private void beginEvent() {
        lineBytes = 0;
        eventHasLines = false;
        insideEvent = false;
        eventId = NO_ID;
    }

    private void addToLine(byte next) {
        if (lineBytes < MAX_ID_LINE_BYTES) {
            lineStart[lineBytes] = next;
        }
        lineBytes++;
    }

    /** Returns whether the line was empty, so that no event is incomplete. */
    private boolean endLine() {
        if (lineBytes > 0) {
            eventHasLines = true;
            readId();
            lineBytes = 0;
            return false;
        }
        if (eventHasLines) {
            completeEvents++;
            senderHasEvents = true;
            lastId = Math.max(lastId, eventId);
        }
        beginEvent();
        return true;
    }

    private void readId() {
        if (lineBytes > MAX_ID_LINE_BYTES || lineStart[0] != ID_FIELD.charAt(0)) {
            return;
        }
        String line = new String(lineStart, 0, lineBytes, StandardCharsets.UTF_8);
        if (!line.startsWith(ID_FIELD)) {
            return;
        }
        try {
            eventId = Long.parseLong(line.substring(ID_FIELD.length()).trim());
        } catch (NumberFormatException ignored) {
            // A stream cannot be resumed after an id that is not a number. The event is forwarded unchanged.
        }
    }
}
