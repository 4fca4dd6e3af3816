package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * Creates the digests of one round. Receivers that were sent the same rosters before share one object, so that it is
 * encoded only once.
 */
final class DigestRound {
    private final PeerRosters rosters;
    private final PeerStatus status;
    private final OptionalLong confirmedAgeMillis;
    private final long nowNanos;
    private final Map<List<ImmutableSet<FailureDomain>>, DomainDigest> digests = new HashMap<>();

    DigestRound(PeerRosters rosters, PeerStatus status, OptionalLong confirmedAgeMillis, long nowNanos) {
        this.nowNanos = nowNanos;
        this.rosters = rosters;
        this.status = status;
        this.confirmedAgeMillis = confirmedAgeMillis;
    }

    /** Returns whether the current members of one of the domains haven't been sent to the entry yet. */
    boolean hasUnsentRosters(EntryId entry, ImmutableSet<FailureDomain> domains) {
        return !rosters.unsentTo(entry, domains).isEmpty();
    }

    /** Returns the digest for an entry, and records that it was sent. */
    DomainDigest digestFor(EntryId entry, ImmutableSet<FailureDomain> domains) {
        ImmutableSet<FailureDomain> unsent = rosters.unsentTo(entry, domains);
        rosters.recordSent(entry, unsent);
        return digests.computeIfAbsent(
                List.of(domains, unsent),
                key -> new DomainDigest(status, confirmedAgeMillis, rosters.rosters(domains, unsent, nowNanos)));
    }
}
