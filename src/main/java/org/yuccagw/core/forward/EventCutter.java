package org.yuccagw.core.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Lets only whole events of a stream through, and remembers the id of the last one.
 *
 * <p>Guards against joining two runs in the middle of an event: an endpoint may break off anywhere, and the stream goes
 * on from another one with the event after the last whole one. What arrived of a broken event is dropped.
 *
 * <p>An event ends with an empty line. Example: after {@code id: 3\ndata: a\n\nid: 4\nda} the first event is passed on,
 * {@link #lastId()} is 3, and the rest waits.
 */
final class EventCutter {
    private static final int LARGEST_EVENT = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final Bytes event = new Bytes();
    private final Bytes line = new Bytes();
    private long lastId;
    private long idOfEvent = ForwardRequest.FROM_START;
    private boolean hasLines;
    private boolean tooLarge;

    EventCutter(long lastId) {
        this.lastId = lastId;
    }

    /** Takes bytes and returns the whole events that they complete, possibly none. */
    ByteBuffer accept(ByteBuffer bytes) {
        Bytes whole = new Bytes();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            event.add(next);
            if (next == '\n') {
                endLine(whole);
            } else if (next != '\r') {
                line.add(next);
            }
        }
        tooLarge |= event.size > LARGEST_EVENT;
        return ByteBuffer.wrap(whole.data, 0, whole.size);
    }

    /** The id of the last whole event. */
    long lastId() {
        return lastId;
    }

    /** Whether part of an event has arrived and not its end. */
    boolean isInsideEvent() {
        return event.size > 0;
    }

    boolean isTooLarge() {
        return tooLarge;
    }

    /** Drops what arrived of an unfinished event. */
    void dropPartial() {
        event.size = 0;
        line.size = 0;
        hasLines = false;
        idOfEvent = ForwardRequest.FROM_START;
    }

    private void endLine(Bytes whole) {
        String text = line.text();
        line.size = 0;
        if (!text.isEmpty()) {
            hasLines = true;
            readId(text);
            return;
        }
        if (hasLines) {
            whole.addAll(event);
            lastId = Math.max(lastId, idOfEvent);
        }
        dropPartial();
    }

    private void readId(String text) {
        if (text.startsWith(ID_FIELD)) {
            try {
                idOfEvent = Long.parseLong(text.substring(ID_FIELD.length()).trim());
            } catch (NumberFormatException ignored) {
                // An id that isn't a number can't be resumed from; the event itself is passed on as it is.
            }
        }
    }

    /** Bytes that grow as they come. */
    private static final class Bytes {
        private byte[] data = new byte[256];
        private int size;

        private void add(byte next) {
            if (size == data.length) {
                data = Arrays.copyOf(data, 2 * size);
            }
            data[size++] = next;
        }

        private void addAll(Bytes other) {
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
