package org.yuccagw.adapters.engine;

import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.Locale;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.core.id.NetworkAddress;

/**
 * A caller's request to a plain service, which is forwarded to an endpoint.
 *
 * @param path path after the service's name, with the query string
 */
public record PlainRequest(String method, String path, HeaderMap headers, byte[] body) {
    /** Headers that aren't forwarded: they apply to a single connection, or carry yuccagw's own keys. */
    private static final ImmutableSet<String> NOT_FORWARDED = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "authorization");

    /** Returns whether the header is forwarded. */
    public static boolean isForwarded(HttpString header) {
        return !NOT_FORWARDED.contains(header.toString().toLowerCase(Locale.ROOT));
    }

    /** Returns the HTTP request of one attempt. */
    public HttpRequest toHttpRequest(NetworkAddress address, String requestId, String traceParent) {
        HttpRequest httpRequest = HttpRequest.of(method, address, path, body);
        for (HeaderValues values : headers) {
            if (isForwarded(values.getHeaderName())) {
                httpRequest.headers().addAll(values.getHeaderName(), values);
            }
        }
        return httpRequest.withHeader("X-Request-Id", requestId).withHeader("traceparent", traceParent);
    }
}
