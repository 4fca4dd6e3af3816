package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.yuccagw.core.port.BodyEnd;

/** Determines from the head of a response what shows the end of its body, in the way in which the client reads it. */
public final class BodyEnds {
    private BodyEnds() {}

    /** Returns what shows the end of the body of a response to a request with the method. */
    public static BodyEnd ofResponse(String method, int status, HeaderMap headers) {
        if (isWithoutBody(method, status)) {
            return BodyEnd.LENGTH;
        }
        String encoding = headers.getLast(Headers.TRANSFER_ENCODING);
        if (encoding != null && Headers.CHUNKED.equals(new HttpString(encoding))) {
            return BodyEnd.LAST_CHUNK;
        }
        return headers.contains(Headers.CONTENT_LENGTH) ? BodyEnd.LENGTH : BodyEnd.CONNECTION;
    }

    private static boolean isWithoutBody(String method, int status) {
        return method.equals(Methods.HEAD_STRING)
                || status < StatusCodes.OK
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED;
    }
}
