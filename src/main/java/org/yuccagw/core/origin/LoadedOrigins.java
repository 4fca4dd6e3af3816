package org.yuccagw.core.origin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.cache.Rendezvous;
import org.yuccagw.core.fleet.StoredOrigin;
import org.yuccagw.core.id.RequestId;

/**
 * The origins that an entry found in the key-value service when it started: those of streams that began before. They
 * are kept for as long as any stream may last, counted from then, since clocks of other entries may differ.
 */
final class LoadedOrigins {
    /** Bounds the memory; the oldest ones make room. */
    private static final int MAX_ORIGINS = 40_000;

    private final Map<Long, Loaded> origins = new LinkedHashMap<>();

    private record Loaded(StoredOrigin origin, long untilNanos) {}

    /** Returns the hash of a request by which its origin is stored. */
    static long hashOf(RequestId request) {
        return Rendezvous.nameHash(request.value());
    }

    void addAll(List<StoredOrigin> loaded, long nowNanos) {
        long untilNanos = nowNanos + OriginRecords.MAX_RETENTION.toNanos();
        for (StoredOrigin origin : loaded) {
            origins.putIfAbsent(origin.requestHash(), new Loaded(origin, untilNanos));
        }
        Iterator<Long> oldest = origins.keySet().iterator();
        for (int excess = origins.size() - MAX_ORIGINS; excess > 0; excess--) {
            oldest.next();
            oldest.remove();
        }
    }

    Optional<StreamOrigin> find(RequestId request, long nowNanos) {
        origins.values().removeIf(loaded -> nowNanos - loaded.untilNanos() > 0);
        return Optional.ofNullable(origins.get(hashOf(request)))
                .map(loaded -> new StreamOrigin(
                        request, loaded.origin().service(), loaded.origin().software()));
    }
}
