package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.port.BodyEnd;

/**
 * A response to an HTTP request.
 *
 * @param bodyEnd what showed that the body has ended
 */
public record HttpResponse(int status, HeaderMap headers, byte[] body, BodyEnd bodyEnd) {
    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int FIRST_REDIRECTION_STATUS = 300;

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the first value of the header, or an empty string if it is absent. */
    public String header(String name) {
        String value = headers.getFirst(name);
        return value == null ? "" : value;
    }
}
