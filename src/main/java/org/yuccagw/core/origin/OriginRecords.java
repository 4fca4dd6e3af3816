package org.yuccagw.core.origin;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;

/** The origins that this entry keeps, of its own streams and of those that other entries told it. */
final class OriginRecords {
    /** For callers that come back at the end of their time. */
    static final Duration RETURN_MARGIN = Duration.ofSeconds(2);

    /** Callers that come back later start anew. */
    static final Duration MAX_RETENTION = Duration.ofSeconds(60);

    /** Bounds the memory; the oldest records make room. */
    private static final int MAX_RECORDS = 20_000;

    private final Map<RequestId, KnownOrigin> records = new LinkedHashMap<>();

    /** One start of an entry. */
    private record EntryStart(EntryId entry, long incarnation) {
        static EntryStart of(EntryContact contact) {
            return new EntryStart(contact.entry(), contact.incarnation());
        }
    }

    /** An origin, until when it is needed, and which entries have been told it. */
    static final class KnownOrigin {
        private final StreamOrigin origin;
        private final Set<EntryStart> told = new HashSet<>();
        private long untilNanos;

        private KnownOrigin(StreamOrigin origin) {
            this.origin = origin;
        }

        StreamOrigin origin() {
            return origin;
        }

        /** Records that an entry knows the origin from now on; returns whether this start of it was not told before. */
        boolean markTold(EntryContact entry) {
            return told.add(EntryStart.of(entry));
        }

        /** Forgets which entries have been told, since the time for which they keep the origin has changed. */
        void forgetTold() {
            told.clear();
        }

        OriginMessage.Kept kept(long nowNanos) {
            return new OriginMessage.Kept(origin, Duration.ofNanos(Math.max(0, untilNanos - nowNanos)));
        }
    }

    /**
     * Keeps an origin for the given time, or for what is left of a longer one. An origin that is known doesn't change.
     */
    KnownOrigin put(StreamOrigin origin, Duration retention, long nowNanos) {
        KnownOrigin record = records.computeIfAbsent(origin.request(), request -> new KnownOrigin(origin));
        Duration bounded = Comparators.min(retention, MAX_RETENTION);
        long untilNanos = nowNanos + bounded.toNanos();
        record.untilNanos = Math.max(record.untilNanos, untilNanos);
        removeOldest();
        return record;
    }

    private void removeOldest() {
        if (records.size() > MAX_RECORDS) {
            Iterator<RequestId> oldest = records.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    Optional<KnownOrigin> find(RequestId request) {
        return Optional.ofNullable(records.get(request));
    }

    Collection<KnownOrigin> all() {
        return records.values();
    }

    int size() {
        return records.size();
    }

    void removeExpired(long nowNanos) {
        records.values().removeIf(record -> nowNanos - record.untilNanos > 0);
    }
}
