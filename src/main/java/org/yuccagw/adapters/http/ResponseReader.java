package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.io.EOFException;
import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * Reads the response to one request from the bytes of its connection, which may arrive in any portions. This is the
 * only reader of responses: whoever receives one gets its head, the content of its body and its end from here.
 *
 * <p>It accepts what RFC 9112 permits a server to send, rare forms included, and refuses everything else at the first
 * byte that shows it. Nothing that it doesn't understand counts as absent, but for the extensions of chunks and the
 * trailers, which a reader may ignore; their form is checked. Interim responses are skipped.
 *
 * <p>The bytes beside the content are limited, since a faulty server may send them without end.
 *
 * <p>Example: for {@code HTTP/1.1 200 OK}, {@code Content-Length: 2}, an empty line and {@code ok}, the steps are HEAD,
 * CONTENT with two bytes, END.
 */
final class ResponseReader {
    /** Limit of the bytes beside the content: heads, interim responses, framing of chunks, trailers. */
    static final long MAX_OVERHEAD_BYTES = 128 * 1024;

    /** A chunk of one byte comes with five bytes of framing, and may have a short extension. */
    private static final long OVERHEAD_PER_CONTENT_BYTE = 16;

    private static final int RADIX = 16;

    private final String method;
    private final LineReader line = new LineReader();
    private Part part = Part.STATUS_LINE;
    private StatusLine statusLine;
    private HeaderMap headers = new HeaderMap();
    private ResponseHead head;
    private ByteBuffer content;
    private long remainingBytes;
    private long allowedOverheadBytes = MAX_OVERHEAD_BYTES;

    /** What has been read by a call of {@link #next}. */
    enum Step {
        /** Nothing: more bytes are needed. */
        MORE,
        /** The head, see {@link #head}. */
        HEAD,
        /** A part of the body, see {@link #content}. */
        CONTENT,
        /** The end of the response. Further bytes don't belong to it. */
        END
    }

    /** The part of the response that is expected next. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY_OF_LENGTH,
        BODY_TO_END_OF_CONNECTION,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        NONE
    }

    private ResponseReader(String method) {
        this.method = method;
    }

    /** Returns a reader of the response to a request with the method. */
    static ResponseReader of(String method) {
        return new ResponseReader(method);
    }

    /** Returns the head. It is present from {@link Step#HEAD} on. */
    ResponseHead head() {
        return head;
    }

    /** Returns the bytes of the latest {@link Step#CONTENT}, a part of the buffer that was passed to {@link #next}. */
    ByteBuffer content() {
        return content;
    }

    /**
     * Reads up to the next step. Called until it returns {@link Step#MORE} or {@link Step#END}.
     *
     * @throws InvalidResponseException if the bytes aren't those of a response
     */
    Step next(ByteBuffer received) throws InvalidResponseException {
        Step step = advance(received);
        while (step == null) {
            step = advance(received);
        }
        return step;
    }

    /** Called when the connection has ended. Returns normally if that is the end of the response. */
    void endConnection() throws EOFException {
        if (part != Part.BODY_TO_END_OF_CONNECTION && part != Part.NONE) {
            throw new EOFException("the connection ended before the end of the response");
        }
    }

    /** Reads one part or a portion of it. Returns null if the next part can be read. */
    private Step advance(ByteBuffer received) throws InvalidResponseException {
        return switch (part) {
            case STATUS_LINE, FIELDS, CHUNK_SIZE, TRAILERS -> readLine(received);
            case CHUNK_END -> readChunkEnd(received);
            case BODY_OF_LENGTH, CHUNK -> readCountedContent(received);
            case BODY_TO_END_OF_CONNECTION -> readContent(received, received.remaining());
            case NONE -> Step.END;
        };
    }

    private Step readLine(ByteBuffer received) throws InvalidResponseException {
        if (!readBesideContent(received)) {
            return Step.MORE;
        }
        String text = line.take();
        switch (part) {
            case STATUS_LINE -> {
                statusLine = StatusLine.parse(text);
                part = Part.FIELDS;
            }
            case FIELDS -> {
                return acceptFieldLine(text);
            }
            case CHUNK_SIZE -> beginChunk(parseChunkSize(text));
            default -> acceptTrailer(text);
        }
        return null;
    }

    private Step acceptFieldLine(String text) throws InvalidResponseException {
        if (!text.isEmpty()) {
            FieldLine field = FieldLine.parse(text);
            headers.add(field.name(), field.value());
            return null;
        }
        if (statusLine.isInterim()) {
            headers = new HeaderMap();
            part = Part.STATUS_LINE;
            return null;
        }
        Framing framing = Framing.of(method, statusLine, headers);
        Duration idleLimit = KeepAlive.idleLimit(statusLine.isOldProtocol(), headers);
        head = new ResponseHead(statusLine.status(), headers, framing.bodyEnd(), framing.bodyBytes(), idleLimit);
        remainingBytes = framing.bodyBytes();
        part = switch (framing.bodyEnd()) {
            case LENGTH -> Part.BODY_OF_LENGTH;
            case LAST_CHUNK -> Part.CHUNK_SIZE;
            case CONNECTION -> Part.BODY_TO_END_OF_CONNECTION;
        };
        return Step.HEAD;
    }

    private Step readCountedContent(ByteBuffer received) {
        if (remainingBytes == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.NONE;
            return null;
        }
        int length = (int) Math.min(remainingBytes, received.remaining());
        remainingBytes -= length;
        return readContent(received, length);
    }

    private Step readContent(ByteBuffer received, int length) {
        if (length == 0) {
            return Step.MORE;
        }
        content = received.slice(received.position(), length);
        received.position(received.position() + length);
        allowedOverheadBytes = Math.min(MAX_OVERHEAD_BYTES, allowedOverheadBytes + length * OVERHEAD_PER_CONTENT_BYTE);
        return Step.CONTENT;
    }

    private void beginChunk(long size) {
        remainingBytes = size;
        part = size == 0 ? Part.TRAILERS : Part.CHUNK;
    }

    private Step readChunkEnd(ByteBuffer received) throws InvalidResponseException {
        boolean isComplete = readBesideContent(received);
        if (line.length() > 0) {
            throw new InvalidResponseException(ResponseDefect.CHUNK);
        }
        if (!isComplete) {
            return Step.MORE;
        }
        line.take();
        part = Part.CHUNK_SIZE;
        return null;
    }

    private void acceptTrailer(String text) throws InvalidResponseException {
        if (text.isEmpty()) {
            part = Part.NONE;
        } else {
            FieldLine.parse(text);
        }
    }

    /** Returns the size in a line that may go on with extensions. Blanks are permitted before an extension only. */
    private static long parseChunkSize(String text) throws InvalidResponseException {
        long size = 0;
        int end = 0;
        for (; end < text.length() && hexadecimalDigit(text.charAt(end)) >= 0; end++) {
            if (size > Long.MAX_VALUE / RADIX) {
                throw new InvalidResponseException(ResponseDefect.CHUNK);
            }
            size = size * RADIX + hexadecimalDigit(text.charAt(end));
        }
        String extensions = text.substring(end);
        boolean isComplete = extensions.isEmpty() || extensions.stripLeading().startsWith(";");
        if (end == 0 || !isComplete) {
            throw new InvalidResponseException(ResponseDefect.CHUNK);
        }
        return size;
    }

    private static int hexadecimalDigit(char character) {
        return character < Byte.MAX_VALUE ? Character.digit(character, RADIX) : -1;
    }

    /** Reads bytes of a line, and returns whether it is complete. */
    private boolean readBesideContent(ByteBuffer received) throws InvalidResponseException {
        int before = received.position();
        boolean isComplete = line.read(received);
        allowedOverheadBytes -= received.position() - before;
        if (allowedOverheadBytes < 0) {
            throw new InvalidResponseException(ResponseDefect.OVERHEAD);
        }
        return isComplete;
    }
}
