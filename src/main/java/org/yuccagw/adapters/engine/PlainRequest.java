package org.yuccagw.adapters.engine;

import com.google.common.collect.ImmutableSet;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.Locale;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;

/**
 * A call to a plain service, to be passed on.
 *
 * @param path behind the service's name, with the query
 */
public record PlainRequest(String method, String path, HeaderMap headers, byte[] body) {
    /** Headers that speak of one connection or of yuccagw's own keys, and so aren't passed on. */
    private static final ImmutableSet<String> NOT_PASSED_ON = ImmutableSet.of(
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

    public static boolean isPassedOn(HttpString header) {
        return !NOT_PASSED_ON.contains(header.toString().toLowerCase(Locale.ROOT));
    }

    /** The query for one attempt. */
    public HttpQuery toward(NetworkAddress address, String requestId, String traceParent) {
        HttpQuery query = HttpQuery.of(method, address, path, body);
        for (HeaderValues values : headers) {
            if (isPassedOn(values.getHeaderName())) {
                query.headers().addAll(values.getHeaderName(), values);
            }
        }
        return query.withHeader("X-Request-Id", requestId).withHeader("traceparent", traceParent);
    }
}
