package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.core.fleet.StoredOrigin;
import org.yuccagw.core.port.KeyValueCall;

/** One key of the key-value service under which this entry stores origins, with what it holds as far as is known. */
final class StoredSlot {
    /** A value of 3 KB, which each entry receives. */
    private static final int MAX_ORIGINS = 256;

    private final int number;
    private final List<StoredOrigin> origins = new ArrayList<>();
    private long revision = KeyValueCall.ABSENT;
    private long writtenNanos;

    StoredSlot(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    ImmutableList<StoredOrigin> origins() {
        return ImmutableList.copyOf(origins);
    }

    long revision() {
        return revision;
    }

    long writtenNanos() {
        return writtenNanos;
    }

    boolean isFull() {
        return origins.size() >= MAX_ORIGINS;
    }

    /** Returns whether the key-value service holds nothing under the key. */
    boolean isAbsent() {
        return revision == KeyValueCall.ABSENT;
    }

    void add(StoredOrigin origin) {
        origins.add(origin);
    }

    /** Records a write of this entry, by its present process or an earlier one. */
    void recordWritten(long newRevision, long nowNanos) {
        revision = newRevision;
        writtenNanos = nowNanos;
    }

    /** Forgets the origins, so that others take their place with the next write. */
    void clear() {
        origins.clear();
    }
}
