package org.yuccagw.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Incremental parser of server-sent events. The bytes of the stream may arrive in chunks of any size.
 *
 * <p>Example: the chunks {@code "id: 7\nda"} and {@code "ta: {}\n\n"} give one event with id 7 and data {@code {}}.
 */
public final class SseParser {
    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final int MAX_EVENT_CHARACTERS = 1024 * 1024;
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";

    private final Listener listener;
    private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream(256);
    private long id = NO_ID;
    private StringBuilder data;

    /** The id reported for an event without an id. */
    public static final long NO_ID = -1;

    /** Receives the parsed events. */
    @FunctionalInterface
    public interface Listener {
        void onEvent(long id, String data) throws IOException;
    }

    private SseParser(Listener listener) {
        this.listener = listener;
    }

    /** Returns a parser that passes each complete event to the listener. */
    public static SseParser of(Listener listener) {
        return new SseParser(listener);
    }

    /**
     * Parses the next bytes of the stream and calls the listener for every event that they complete.
     *
     * @throws IOException if a line or an event exceeds 1 MiB, an id isn't a number, or the listener throws it
     */
    public void accept(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                lineBytes.write(next);
                checkLineLength();
            }
        }
    }

    private void checkLineLength() throws IOException {
        if (lineBytes.size() > MAX_LINE_BYTES) {
            throw new IOException("a line of the event stream is over " + MAX_LINE_BYTES + " bytes");
        }
    }

    private void endLine() throws IOException {
        String text = lineBytes.toString(StandardCharsets.UTF_8);
        lineBytes.reset();
        if (text.isEmpty()) {
            endEvent();
        } else if (text.startsWith(ID_FIELD)) {
            id = parseId(text.substring(ID_FIELD.length()).trim());
        } else if (text.startsWith(DATA_FIELD)) {
            addData(text.substring(DATA_FIELD.length()).trim());
        }
    }

    private void addData(String text) throws IOException {
        if (data == null) {
            data = new StringBuilder(text);
        } else {
            data.append('\n').append(text);
        }
        if (data.length() > MAX_EVENT_CHARACTERS) {
            throw new IOException("an event of the stream is over " + MAX_EVENT_CHARACTERS + " characters");
        }
    }

    private void endEvent() throws IOException {
        if (data == null) {
            id = NO_ID;
            return;
        }
        String text = data.toString();
        long eventId = id;
        data = null;
        id = NO_ID;
        listener.onEvent(eventId, text);
    }

    private static long parseId(String text) throws IOException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IOException("the id of an event isn't a number: '" + text + "'", e);
        }
    }
}
