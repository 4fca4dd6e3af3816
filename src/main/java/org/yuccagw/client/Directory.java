package org.yuccagw.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The entries to connect to, kept for as long as the directory says.
 *
 * <p>When no entry answers, the last directory stays in use: entries that it names may still serve, and an entry that
 * doesn't is found out by the connection itself.
 */
final class Directory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient http;
    private final ClientSettings settings;
    private volatile Known known = new Known(List.of(), 0);

    private record Known(List<NetworkAddress> entries, long validUntilNanos) {}

    Directory(HttpClient http, ClientSettings settings) {
        this.http = http;
        this.settings = settings;
    }

    /** Entries, the best first; asks for them anew when the kept ones are old. Never empty. */
    CompletableFuture<List<NetworkAddress>> entries() {
        Known present = known;
        if (!present.entries().isEmpty() && System.nanoTime() < present.validUntilNanos()) {
            return CompletableFuture.completedFuture(present.entries());
        }
        return ask(candidates().iterator());
    }

    /** An entry failed: ask anew before the next use. */
    void doubt() {
        known = new Known(known.entries(), System.nanoTime());
    }

    private Set<NetworkAddress> candidates() {
        Set<NetworkAddress> all = new LinkedHashSet<>(known.entries());
        all.addAll(settings.firstEntries());
        return all;
    }

    private CompletableFuture<List<NetworkAddress>> ask(Iterator<NetworkAddress> candidates) {
        if (!candidates.hasNext()) {
            return CompletableFuture.completedFuture(new ArrayList<>(candidates()));
        }
        HttpQuery query = HttpQuery.get(candidates.next(), "/v1/directory?domain=" + settings.domain())
                .withTimeouts(CONNECT_TIMEOUT, ANSWER_TIMEOUT);
        return http.send(query)
                .handle((answer, failure) -> failure == null && take(answer))
                .thenCompose(taken -> taken ? CompletableFuture.completedFuture(known.entries()) : ask(candidates));
    }

    private boolean take(HttpResponse answer) {
        if (!answer.isSuccess()) {
            return false;
        }
        try {
            JsonNode body = JSON.readTree(answer.body());
            List<NetworkAddress> entries = new ArrayList<>();
            for (JsonNode entry : body.path("entries")) {
                entries.add(NetworkAddress.parse(entry.path("address").asText()));
            }
            if (entries.isEmpty()) {
                return false;
            }
            long validNanos = Duration.ofMillis(body.path("ttl_ms").asLong()).toNanos();
            known = new Known(List.copyOf(entries), System.nanoTime() + validNanos);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }
}
