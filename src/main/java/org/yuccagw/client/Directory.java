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
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Caches the directory, which lists the entries to connect to, for its time to live.
 *
 * <p>If no entry answers a query for the directory, the previous directory stays in use. Its entries may still serve
 * requests, and an entry that doesn't is detected when a connection to it fails.
 */
final class Directory {
    private static final ObjectMapper JSON = BoundedJson.mapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient httpClient;
    private final ClientSettings settings;
    private volatile CachedEntries cached = new CachedEntries(List.of(), 0);

    private record CachedEntries(List<NetworkAddress> entries, long validUntilNanos) {}

    Directory(HttpClient httpClient, ClientSettings settings) {
        this.httpClient = httpClient;
        this.settings = settings;
    }

    /**
     * Returns the entries, the preferred one first. Queries the directory if the cached one has expired. The list is
     * never empty.
     */
    CompletableFuture<List<NetworkAddress>> entries() {
        CachedEntries current = cached;
        if (!current.entries().isEmpty() && System.nanoTime() < current.validUntilNanos()) {
            return CompletableFuture.completedFuture(current.entries());
        }
        return queryNext(candidates().iterator());
    }

    /** Marks the cached directory as expired. Called when an entry has failed. */
    void expire() {
        cached = new CachedEntries(cached.entries(), System.nanoTime());
    }

    private Set<NetworkAddress> candidates() {
        Set<NetworkAddress> addresses = new LinkedHashSet<>(cached.entries());
        addresses.addAll(settings.seedEntries());
        return addresses;
    }

    private CompletableFuture<List<NetworkAddress>> queryNext(Iterator<NetworkAddress> candidates) {
        if (!candidates.hasNext()) {
            return CompletableFuture.completedFuture(new ArrayList<>(candidates()));
        }
        HttpRequest request = HttpRequest.get(candidates.next(), "/v1/directory?domain=" + settings.domain())
                .withTimeouts(CONNECT_TIMEOUT, ANSWER_TIMEOUT)
                .withStatedEndRequired();
        return httpClient
                .send(request)
                .handle((answer, failure) -> failure == null && update(answer))
                .thenCompose(updated ->
                        updated ? CompletableFuture.completedFuture(cached.entries()) : queryNext(candidates));
    }

    private boolean update(HttpResponse answer) {
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
            long timeToLiveNanos =
                    Duration.ofMillis(body.path("ttl_ms").asLong()).toNanos();
            cached = new CachedEntries(List.copyOf(entries), System.nanoTime() + timeToLiveNanos);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }
}
