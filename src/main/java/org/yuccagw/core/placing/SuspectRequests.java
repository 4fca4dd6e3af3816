package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Requests during which endpoints failed, by fingerprint.
 *
 * <p>Guards against a request that makes every endpoint fail that runs it. Its caller sends it again, to any entry, and
 * each attempt makes another endpoint unavailable for seconds. Entries report each failure to all others. After
 * {@link #MAX_FAILURES} failures without an answer in between, all entries refuse the request. Failures count by
 * incarnation, because an endpoint that restarts under the same ID may fail by the request again. A failure may have
 * another cause, so failures expire soon, and a complete answer clears them.
 */
final class SuspectRequests {
    /**
     * A third endpoint is the last one that such a request may make fail, as one more attempt may already be in
     * progress elsewhere.
     */
    static final int MAX_FAILURES = 2;

    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final int MAX_FINGERPRINTS = 5_000;

    private final LinkedHashMap<String, Failures> byFingerprint = new LinkedHashMap<>();

    private static final class Failures {
        private final Set<EndpointIncarnation> endpoints = new LinkedHashSet<>();
        private long lastNanos;
    }

    void add(String fingerprint, EndpointIncarnation endpoint, long nowNanos) {
        evict(nowNanos);
        Failures failures = byFingerprint.computeIfAbsent(fingerprint, key -> new Failures());
        failures.endpoints.add(endpoint);
        failures.lastNanos = nowNanos;
    }

    void clear(String fingerprint) {
        byFingerprint.remove(fingerprint);
    }

    /** Returns the number of endpoints that recently failed during the request. */
    int count(String fingerprint, long nowNanos) {
        Failures failures = byFingerprint.get(fingerprint);
        if (failures == null || nowNanos - failures.lastNanos > RETENTION.toNanos()) {
            return 0;
        }
        return failures.endpoints.size();
    }

    private void evict(long nowNanos) {
        byFingerprint.values().removeIf(failures -> nowNanos - failures.lastNanos > RETENTION.toNanos());
        while (byFingerprint.size() >= MAX_FINGERPRINTS) {
            Map.Entry<String, Failures> oldest =
                    byFingerprint.entrySet().iterator().next();
            byFingerprint.remove(oldest.getKey());
        }
    }
}
