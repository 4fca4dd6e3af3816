package org.yuccagw.adapters.http;

import com.google.common.base.CharMatcher;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.yuccagw.core.port.BodyEnd;

/**
 * Where the body of a response ends, as RFC 9112 defines it in section 6.3. What the fields say must be understood in
 * full and be free of contradiction: a reader that ignored a part would take other bytes for the body than the sender.
 *
 * @param bodyBytes length of the body if it is stated, else 0
 */
record Framing(BodyEnd bodyEnd, long bodyBytes) {
    private static final Framing WITHOUT_BODY = new Framing(BodyEnd.LENGTH, 0);
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    /**
     * Determines the framing of the response to a request with the method. Writes the length into the headers in its
     * usual form, or removes it if no body may follow.
     *
     * @throws InvalidResponseException if the fields can't be understood, or contradict each other
     */
    static Framing of(String method, StatusLine statusLine, HeaderMap headers) throws InvalidResponseException {
        boolean chunked = isChunked(statusLine, headers);
        boolean hasLength = headers.contains(Headers.CONTENT_LENGTH);
        long length = hasLength ? parseLength(headers) : 0;
        if (chunked && hasLength) {
            throw new InvalidResponseException(ResponseDefect.FRAMING);
        }
        if (method.equals(Methods.HEAD_STRING)) {
            return WITHOUT_BODY;
        }
        if (statusLine.status() == StatusCodes.NO_CONTENT || statusLine.status() == StatusCodes.NOT_MODIFIED) {
            requirePossible(statusLine, chunked, length);
            headers.remove(Headers.CONTENT_LENGTH);
            return WITHOUT_BODY;
        }
        if (chunked) {
            return new Framing(BodyEnd.LAST_CHUNK, 0);
        }
        return hasLength ? new Framing(BodyEnd.LENGTH, length) : new Framing(BodyEnd.CONNECTION, 0);
    }

    /** Status 304 may state the length or the coding that another status would have had; 204 has no body at all. */
    private static void requirePossible(StatusLine statusLine, boolean chunked, long length)
            throws InvalidResponseException {
        if (statusLine.status() == StatusCodes.NO_CONTENT && (chunked || length > 0)) {
            throw new InvalidResponseException(ResponseDefect.FRAMING);
        }
    }

    private static boolean isChunked(StatusLine statusLine, HeaderMap headers) throws InvalidResponseException {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        if (codings == null) {
            return false;
        }
        boolean isUnderstood = codings.size() == 1 && Headers.CHUNKED.toString().equalsIgnoreCase(codings.getFirst());
        if (!isUnderstood || statusLine.isOldProtocol()) {
            throw new InvalidResponseException(ResponseDefect.TRANSFER_CODING);
        }
        return true;
    }

    private static long parseLength(HeaderMap headers) throws InvalidResponseException {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        String text = lengths.getFirst();
        if (lengths.size() != 1 || text.isEmpty() || !DIGITS.matchesAllOf(text)) {
            throw new InvalidResponseException(ResponseDefect.LENGTH);
        }
        try {
            long length = Long.parseLong(text);
            headers.put(Headers.CONTENT_LENGTH, length);
            return length;
        } catch (NumberFormatException e) {
            throw new InvalidResponseException(ResponseDefect.LENGTH);
        }
    }
}
