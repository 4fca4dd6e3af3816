package org.yuccagw.standins.plain;

import java.util.List;

/**
 * A call that the service carried out.
 *
 * @param number from 1, in the order of their effects
 * @param path with the query
 * @param attempt the header {@code X-Request-Id}
 * @param idempotencyKey empty if absent
 * @param bodyHash SHA-256 of the body
 * @param markers the words in the body that start with {@code marker-}
 * @param traced whether it carried {@code traceparent}
 * @param millis since the epoch
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
