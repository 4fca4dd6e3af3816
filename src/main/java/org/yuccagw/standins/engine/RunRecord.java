package org.yuccagw.standins.engine;

import java.util.List;

/**
 * A run that the engine started. The components are the fields of its JSON.
 *
 * @param attempt the value of the header {@code X-Request-Id}
 * @param idempotencyKey the value of the header {@code Idempotency-Key}; empty if absent
 * @param promptHash the SHA-256 hash of the prompt or, for a chat, of its rendered messages
 * @param salt the cache salt of the request
 * @param markers the words in its prompt that start with {@code marker-}
 * @param version the weight version that it runs on
 * @param stream the id of the stream
 * @param startedMillis the time of the start in milliseconds since the epoch
 */
public record RunRecord(
        String engine,
        long incarnation,
        String attempt,
        String idempotencyKey,
        String promptHash,
        String salt,
        List<String> markers,
        String version,
        String stream,
        long startedMillis) {
    public RunRecord {
        markers = List.copyOf(markers);
    }
}
