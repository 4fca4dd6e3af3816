package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * How much of the history of the key-value service an entry's copy includes, and therefore what its answers may tell to
 * an entry that starts.
 *
 * <p>A service that was restored from an older copy doesn't show what it has lost. Only entries that received it know,
 * and those to which they have passed it on.
 *
 * @param earlierEras for each earlier era of which the copy includes changes, the highest of these revisions; in
 *     increasing order
 * @param presentEraMillis how long the copy has included the present era
 */
public record CopyCoverage(ImmutableList<Long> earlierEras, long presentEraMillis) {
    /** By this time after a restoration, operators and endpoints have written again what the service had lost. */
    private static final Duration CORRECTED = Duration.ofSeconds(20);

    /** Returns the highest revision known of the era before the one of the given revision; 0 if there is none. */
    long lastOfEraBefore(long presentRevision) {
        return earlierEras.stream()
                .filter(last -> KeyValueRevision.era(last) + 1 == KeyValueRevision.era(presentRevision))
                .findFirst()
                .orElse(KeyValueRevision.NONE);
    }

    /** Returns whether the present era has lasted so long that nothing known better from earlier ones is in force. */
    boolean isCorrected() {
        return presentEraMillis >= CORRECTED.toMillis();
    }
}
