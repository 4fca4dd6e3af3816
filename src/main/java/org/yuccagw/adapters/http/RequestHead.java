package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** Writes the head of a request in HTTP/1.1. */
final class RequestHead {
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD", "DELETE");
    private static final int TYPICAL_CHARACTERS = 512;
    private static final String LINE_END = "\r\n";

    private RequestHead() {}

    /**
     * Returns the bytes of the head.
     *
     * @throws IllegalArgumentException if a part of it holds the end of a line, which would begin another field
     */
    static ByteBuffer encode(HttpRequest request) {
        StringBuilder head = new StringBuilder(TYPICAL_CHARACTERS);
        appendLine(head, request.method() + " " + request.path() + " HTTP/1.1");
        for (HeaderValues values : headers(request)) {
            for (String value : values) {
                appendLine(head, values.getHeaderName() + ": " + value);
            }
        }
        head.append(LINE_END);
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private static HeaderMap headers(HttpRequest request) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, request.address().toString());
        for (HeaderValues values : request.headers()) {
            headers.putAll(values.getHeaderName(), values);
        }
        boolean withoutBody = request.body().length == 0 && METHODS_WITHOUT_BODY.contains(request.method());
        if (!withoutBody) {
            headers.put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return headers;
    }

    private static void appendLine(StringBuilder head, String line) {
        if (line.indexOf('\r') >= 0 || line.indexOf('\n') >= 0) {
            throw new IllegalArgumentException("a line of the request holds the end of a line");
        }
        head.append(line).append(LINE_END);
    }
}
