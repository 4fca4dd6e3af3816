package org.yuccagw.adapters.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.yuccagw.core.id.NetworkAddress;

/**
 * One HTTP request to send.
 *
 * @param path path with the query string
 * @param connectTimeout longest time until the connection is established
 * @param silenceTimeout longest time without a byte of the response, after which the connection is closed
 * @param newConnection whether the request is sent over a connection opened for it, never over an idle one. Used for
 *     requests that can't be sent twice, because a reused connection may turn out to be closed, or dropped by a device
 *     on the path, only after the request was written; also for probing whether the server is alive.
 * @param statedEndRequired whether the request fails if the response has neither a length nor chunks, so that its end
 *     looks like that of a broken connection
 */
public record HttpRequest(
        NetworkAddress address,
        String method,
        String path,
        HeaderMap headers,
        byte[] body,
        Duration connectTimeout,
        Duration silenceTimeout,
        boolean newConnection,
        boolean statedEndRequired) {
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(10);
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Returns a GET request with the default timeouts: 2 s to connect, 10 s of silence. */
    public static HttpRequest get(NetworkAddress address, String path) {
        return of("GET", address, path);
    }

    /** Returns a request without a body, with the default timeouts. */
    public static HttpRequest of(String method, NetworkAddress address, String path) {
        return of(method, address, path, EMPTY_BODY);
    }

    /** Returns a request with a body of any type, with the default timeouts. */
    public static HttpRequest of(String method, NetworkAddress address, String path, byte[] body) {
        return new HttpRequest(
                address,
                method,
                path,
                new HeaderMap(),
                body,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_SILENCE_TIMEOUT,
                false,
                false);
    }

    /** Returns a request with a JSON body, with the default timeouts. */
    public static HttpRequest json(String method, NetworkAddress address, String path, String body) {
        return of(method, address, path, body.getBytes(StandardCharsets.UTF_8))
                .withHeader("Content-Type", "application/json");
    }

    /** Returns a copy of this request in which the header has this single value. */
    public HttpRequest withHeader(String name, String value) {
        HeaderMap copy = copyHeaders();
        copy.put(HttpString.tryFromString(name), value);
        return new HttpRequest(
                address, method, path, copy, body, connectTimeout, silenceTimeout, newConnection, statedEndRequired);
    }

    public HttpRequest withTimeouts(Duration newConnectTimeout, Duration newSilenceTimeout) {
        return new HttpRequest(
                address,
                method,
                path,
                headers,
                body,
                newConnectTimeout,
                newSilenceTimeout,
                newConnection,
                statedEndRequired);
    }

    /** Returns a copy of this request that is sent over a connection opened for it. */
    public HttpRequest withNewConnection() {
        return new HttpRequest(
                address, method, path, headers, body, connectTimeout, silenceTimeout, true, statedEndRequired);
    }

    /** Returns a copy of this request whose response must have a length or chunks, as those of entries do. */
    public HttpRequest withStatedEndRequired() {
        return new HttpRequest(
                address, method, path, headers, body, connectTimeout, silenceTimeout, newConnection, true);
    }

    private HeaderMap copyHeaders() {
        HeaderMap copy = new HeaderMap();
        for (io.undertow.util.HeaderValues values : headers) {
            copy.addAll(values.getHeaderName(), values);
        }
        return copy;
    }
}
