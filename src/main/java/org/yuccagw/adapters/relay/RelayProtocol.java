package org.yuccagw.adapters.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.relay.Relay;
import org.yuccagw.core.relay.RelayOutcome;

/**
 * The messages between two entries of which one relays requests for the other.
 *
 * <p>A relayed request is the request to the endpoint, unchanged, with headers that name the endpoint. The response has
 * a header with the {@link RelayOutcome}; after {@code ANSWERED} it is the endpoint's response, unchanged, with a
 * header that says what shows its end at the endpoint.
 */
final class RelayProtocol {
    private static final HttpString ENDPOINT = HttpString.tryFromString("Relay-Endpoint");
    private static final HttpString SILENCE_MILLIS = HttpString.tryFromString("Relay-Silence-Millis");
    private static final HttpString REQUEST = HttpString.tryFromString("Relay-Request");
    private static final HttpString SENDER = HttpString.tryFromString("Relay-Sender");
    private static final HttpString OUTCOME = HttpString.tryFromString("Relay-Outcome");
    private static final HttpString BODY_END = HttpString.tryFromString("Relay-Body-End");
    private static final HttpString KEEP_ALIVE = HttpString.tryFromString("Keep-Alive");

    /** A host and its neighbours are connected within 1 ms, two failure domains within 5 ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    private static final Set<HttpString> REQUEST_HEADERS =
            Set.of(ENDPOINT, SILENCE_MILLIS, REQUEST, SENDER, Headers.CONTENT_LENGTH, Headers.CONNECTION);

    /** The relaying entry frames the response anew for its own connection. */
    private static final Set<HttpString> RESPONSE_HEADERS =
            Set.of(OUTCOME, BODY_END, Headers.TRANSFER_ENCODING, Headers.CONNECTION, KEEP_ALIVE);

    private RelayProtocol() {}

    /**
     * A request to be relayed.
     *
     * @param label id of the request in logs
     * @param sender the entry that asks
     */
    record Order(NetworkAddress endpoint, Duration silenceTimeout, String label, EntryId sender) {}

    /** Returns the message that asks another entry to send the request. */
    static HttpRequest encode(HttpRequest request, Relay relay, String label, EntryId sender) {
        HeaderMap headers = copy(request.headers());
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, request.address().toString());
        }
        headers.put(ENDPOINT, request.address().toString());
        headers.put(SILENCE_MILLIS, request.silenceTimeout().toMillis());
        headers.put(REQUEST, label);
        headers.put(SENDER, sender.value());
        return new HttpRequest(
                relay.address(),
                request.method(),
                request.path(),
                headers,
                request.body(),
                CONNECT_TIMEOUT,
                request.silenceTimeout(),
                request.newConnection(),
                true);
    }

    /** Returns the order in the headers of a request; empty if there is none or it is malformed. */
    static Optional<Order> readOrder(HeaderMap headers) {
        if (!headers.contains(ENDPOINT) || !headers.contains(SILENCE_MILLIS) || !headers.contains(SENDER)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Order(
                    NetworkAddress.parse(headers.getFirst(ENDPOINT)),
                    Duration.ofMillis(Long.parseLong(headers.getFirst(SILENCE_MILLIS))),
                    headers.contains(REQUEST) ? headers.getFirst(REQUEST) : "",
                    EntryId.of(headers.getFirst(SENDER))));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the headers for the endpoint. */
    static HeaderMap endpointHeaders(HeaderMap received) {
        return without(received, REQUEST_HEADERS);
    }

    /** Returns the headers of a response that begins the answer of an endpoint. */
    static HeaderMap answerHeaders(HeaderMap endpointHeaders, BodyEnd bodyEnd) {
        HeaderMap headers = without(endpointHeaders, RESPONSE_HEADERS);
        headers.put(OUTCOME, RelayOutcome.ANSWERED.code());
        headers.put(BODY_END, bodyEnd.name());
        return headers;
    }

    /** Returns the headers of a response without an answer of the endpoint. */
    static HeaderMap failureHeaders(RelayOutcome outcome) {
        HeaderMap headers = new HeaderMap();
        headers.put(OUTCOME, outcome.code());
        headers.put(Headers.CONTENT_LENGTH, 0);
        return headers;
    }

    static Optional<RelayOutcome> readOutcome(HeaderMap responseHeaders) {
        return Optional.ofNullable(responseHeaders.getFirst(OUTCOME)).flatMap(RelayOutcome::ofCode);
    }

    /** Returns what showed the end of the body at the endpoint. */
    static BodyEnd readBodyEnd(HeaderMap responseHeaders) {
        return BodyEnd.valueOf(responseHeaders.getFirst(BODY_END));
    }

    /** Returns the headers as the endpoint sent them, without those of the connection. */
    static HeaderMap originalHeaders(HeaderMap responseHeaders) {
        return without(responseHeaders, RESPONSE_HEADERS);
    }

    private static HeaderMap copy(HeaderMap headers) {
        return without(headers, Set.of());
    }

    private static HeaderMap without(HeaderMap headers, Set<HttpString> omitted) {
        HeaderMap result = new HeaderMap();
        for (HeaderValues values : headers) {
            if (!omitted.contains(values.getHeaderName())) {
                result.addAll(values.getHeaderName(), values);
            }
        }
        return result;
    }
}
