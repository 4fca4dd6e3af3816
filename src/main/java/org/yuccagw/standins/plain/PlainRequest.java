package org.yuccagw.standins.plain;

import java.util.List;

/**
 * A call that the service executed. The components are the fields of its JSON, in the record and in answers.
 *
 * @param number the position of the call in the order of execution, from 1
 * @param path the path with the query
 * @param attempt the value of the header {@code X-Request-Id}
 * @param idempotencyKey the value of the header {@code Idempotency-Key}; empty if absent
 * @param bodyHash the SHA-256 hash of the body
 * @param markers the words in the body that start with {@code marker-}
 * @param traced whether the call had the header {@code traceparent}
 * @param millis the time of execution in milliseconds since the epoch
 */
public record PlainRequest(
        String service,
        long number,
        String method,
        String path,
        String attempt,
        String idempotencyKey,
        String bodyHash,
        List<String> markers,
        boolean traced,
        long millis) {
    public PlainRequest {
        markers = List.copyOf(markers);
    }
}
