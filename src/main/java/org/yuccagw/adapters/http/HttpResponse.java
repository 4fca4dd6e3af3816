package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;

/** A whole answer to an HTTP request. */
public record HttpResponse(int status, HeaderMap headers, byte[] body) {
    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    public boolean isSuccess() {
        return status >= SUCCESS && status < REDIRECTION;
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The first value of a header, empty text if absent. */
    public String header(String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value;
    }
}
