package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import java.util.TreeMap;
import org.yuccagw.core.port.KeyValueRevision;

/** Records which eras of the key-value service this entry's copy includes, received or inherited from other entries. */
final class CoverageRecord {
    private static final int MAX_ERAS = 8;

    private final TreeMap<Long, Long> lastRevisionByEra = new TreeMap<>();
    private long presentEraSinceNanos;

    /** Records that this entry has received its first copy, which may be of an era that began long before. */
    void recordFirstCopy(long nowNanos) {
        presentEraSinceNanos = nowNanos;
    }

    /** Records that the service has been restored after this entry's copy had reached a revision. */
    void recordRestoration(long lastRevision, long nowNanos) {
        include(lastRevision);
        presentEraSinceNanos = nowNanos;
    }

    /** Records that this entry has been told all that another one knows. */
    void inherit(CopyCoverage other, long nowNanos) {
        other.earlierEras().forEach(this::include);
        long sinceNanos = nowNanos - other.presentEraMillis() * 1_000_000;
        presentEraSinceNanos = presentEraSinceNanos - sinceNanos > 0 ? sinceNanos : presentEraSinceNanos;
    }

    /** Returns what the copy includes, given the revision that it has reached. */
    CopyCoverage coverage(long revision, long nowNanos) {
        ImmutableList<Long> earlier = lastRevisionByEra.values().stream()
                .filter(last -> KeyValueRevision.isOfEarlierEra(last, revision))
                .collect(ImmutableList.toImmutableList());
        return new CopyCoverage(earlier, (nowNanos - presentEraSinceNanos) / 1_000_000);
    }

    private void include(long lastRevision) {
        lastRevisionByEra.merge(KeyValueRevision.era(lastRevision), lastRevision, Math::max);
        if (lastRevisionByEra.size() > MAX_ERAS) {
            lastRevisionByEra.pollFirstEntry();
        }
    }
}
