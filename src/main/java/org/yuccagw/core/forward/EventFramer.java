package org.yuccagw.core.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into complete events and records the id of the last one.
 *
 * <p>Prevents two runs from being joined in the middle of an event. A connection to an endpoint may break at any byte,
 * and the stream is continued on another endpoint with the event after the last complete one. The bytes of an
 * incomplete event are discarded.
 *
 * <p>An event ends with an empty line. Example: after {@code id: 3\ndata: a\n\nid: 4\nda} the first event is returned,
 * {@link #lastId()} is 3, and the remaining bytes are buffered.
 */
final class EventFramer {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final ByteBuilder currentEvent = new ByteBuilder();
    private final ByteBuilder currentLine = new ByteBuilder();
    private long lastId;
    private long currentEventId = ForwardRequest.FROM_START;
    private boolean currentEventHasLines;
    private boolean tooLarge;

    EventFramer(long lastId) {
        this.lastId = lastId;
    }

    /** Adds bytes and returns the events that they complete, possibly none. */
    ByteBuffer accept(ByteBuffer bytes) {
        ByteBuilder completed = new ByteBuilder();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            currentEvent.add(next);
            if (next == '\n') {
                endLine(completed);
            } else if (next != '\r') {
                currentLine.add(next);
            }
        }
        tooLarge |= currentEvent.size > MAX_EVENT_BYTES;
        return ByteBuffer.wrap(completed.data, 0, completed.size);
    }

    /** Returns the id of the last complete event. */
    long lastId() {
        return lastId;
    }

    /** Returns whether an event has started and its end has not arrived. */
    boolean isInsideEvent() {
        return currentEvent.size > 0;
    }

    boolean isTooLarge() {
        return tooLarge;
    }

    /** Discards the bytes of an incomplete event. */
    void discardPartial() {
        currentEvent.size = 0;
        currentLine.size = 0;
        currentEventHasLines = false;
        currentEventId = ForwardRequest.FROM_START;
    }

    private void endLine(ByteBuilder completed) {
        String text = currentLine.text();
        currentLine.size = 0;
        if (!text.isEmpty()) {
            currentEventHasLines = true;
            readId(text);
            return;
        }
        if (currentEventHasLines) {
            completed.addAll(currentEvent);
            lastId = Math.max(lastId, currentEventId);
        }
        discardPartial();
    }

    private void readId(String text) {
        if (text.startsWith(ID_FIELD)) {
            try {
                currentEventId =
                        Long.parseLong(text.substring(ID_FIELD.length()).trim());
            } catch (NumberFormatException ignored) {
                // A stream cannot be resumed after an id that is not a number. The event is forwarded unchanged.
            }
        }
    }

    /** A growing byte buffer. */
    private static final class ByteBuilder {
        private byte[] data = new byte[256];
        private int size;

        private void add(byte next) {
            if (size == data.length) {
                data = Arrays.copyOf(data, 2 * size);
            }
            data[size++] = next;
        }

        private void addAll(ByteBuilder other) {
            if (size + other.size > data.length) {
                data = Arrays.copyOf(data, Math.max(2 * data.length, size + other.size));
            }
            System.arraycopy(other.data, 0, data, size, other.size);
            size += other.size;
        }

        private String text() {
            return new String(data, 0, size, StandardCharsets.UTF_8);
        }
    }
}
