package org.yuccagw.core.forward;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

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

    private final ByteArrayOutputStream event = new ByteArrayOutputStream(512);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    private long lastId;
    private long idOfEvent = ForwardRequest.FROM_START;
    private boolean hasLines;
    private boolean tooLarge;

    EventCutter(long lastId) {
        this.lastId = lastId;
    }

    /** Takes bytes and returns the whole events that they complete, possibly none. */
    ByteBuffer accept(ByteBuffer bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.remaining() + event.size());
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            event.write(next);
            if (next == '\n') {
                endLine(whole);
            } else if (next != '\r') {
                line.write(next);
            }
        }
        tooLarge |= event.size() > LARGEST_EVENT;
        return ByteBuffer.wrap(whole.toByteArray());
    }

    /** The id of the last whole event. */
    long lastId() {
        return lastId;
    }

    /** Whether part of an event has arrived and not its end. */
    boolean isInsideEvent() {
        return event.size() > 0;
    }

    boolean isTooLarge() {
        return tooLarge;
    }

    /** Drops what arrived of an unfinished event. */
    void dropPartial() {
        event.reset();
        line.reset();
        hasLines = false;
        idOfEvent = ForwardRequest.FROM_START;
    }

    private void endLine(ByteArrayOutputStream whole) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.isEmpty()) {
            hasLines = true;
            readId(text);
            return;
        }
        if (hasLines) {
            byte[] complete = event.toByteArray();
            whole.write(complete, 0, complete.length);
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
}
