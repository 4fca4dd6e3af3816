package org.yuccagw.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.admission.SharePeerMessage.Ask;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.id.EntryId;

/**
 * Lends shares of the limits of one workspace or service to entries. Runs on the owner of the shard of the limit.
 *
 * <p>Invariant: the shares that all entries may use never exceed the limit together. Each entry is counted with the
 * maximum of the shares that it may use, which are all grants since the newest one that it named in a request. Grants
 * that were lost in transit are included. A share that was not renewed still counts, because an entry that is
 * disconnected from this owner may continue to use a part of it. It counts until the entry confirms a newer grant or
 * has terminated.
 *
 * <p>A new owner does not know the grants of its predecessor. Until those have expired, it only confirms the shares
 * that entries report as held. After that, it reserves {@code limit / entries} for each live entry from which it has
 * received no message. That is the maximum that such an entry uses without a grant, see {@link ShareBorrower}.
 *
 * <p>Example: the limit is 8 and there are three entries. Entry 1 requests a share with demand 10 and gets 8. Entry 2
 * requests a share with demand 10 and gets 0, since everything is lent. Entry 1 renews its share and gets its fair
 * share of 4. After entry 1 has named that grant in a request, entry 2 gets 4.
 */
final class ShareLender {
    /**
     * Lifetime of a share, starting when it is requested. It is renewed twice within its lifetime. Callers wait for a
     * new owner for 1.1 times the lifetime, and they are refused after a few seconds, which limits the lifetime.
     */
    static final Duration LIFETIME = Duration.ofSeconds(2);

    /** Time that a new owner waits for the grants of its predecessor to expire. */
    static final Duration SETTLING_TIME = LIFETIME.plus(LIFETIME.dividedBy(10));

    private static final double DEMAND_HEADROOM = 1.25;

    private final long settledNanos;
    private final Map<EntryId, Borrower> borrowers = new HashMap<>();
    private long nextSequence = 1;

    ShareLender(long gainedNanos, Duration settlingTime) {
        this.settledNanos = gainedNanos + settlingTime.toNanos();
    }

    /** The state of one entry: its grants by sequence number, starting with the one that it named last. */
    private static final class Borrower {
        private final Map<Long, Share> grants = new HashMap<>();
        private double demand;
        private long requestedNanos;

        private Share maximumShare() {
            return grants.values().stream().reduce(Share.none(), Share::atLeast);
        }
    }

    /** A share that was granted, with its sequence number. */
    record LentShare(Share share, long sequence) {}

    /**
     * Grants a share in response to a request.
     *
     * @param namesOwnGrant whether the grant that the request names was made by this owner
     * @param maximum share that the entry gets at most
     * @param unseenEntries number of live entries from which this owner has received no message
     * @param entryCount number of live entries
     */
    LentShare lend(
            EntryId entry,
            Ask ask,
            boolean namesOwnGrant,
            Limits limits,
            Share maximum,
            int unseenEntries,
            int entryCount,
            long nowNanos) {
        Borrower borrower = borrowers.computeIfAbsent(entry, name -> new Borrower());
        long sequence = namesOwnGrant ? ask.sequence() : 0;
        borrower.grants.keySet().removeIf(grantSequence -> grantSequence <= sequence);
        borrower.grants.put(sequence, ask.held());
        borrower.demand = ask.demand();
        borrower.requestedNanos = nowNanos;
        boolean settled = nowNanos >= settledNanos;
        Share share = settled
                ? fairShare(entry, ask, limits, unseenEntries, entryCount, nowNanos)
                        .atMost(maximum)
                : ask.held();
        long grantSequence = nextSequence();
        borrower.grants.put(grantSequence, share);
        return new LentShare(share, grantSequence);
    }

    /** Returns the sequence number of a new grant. */
    long nextSequence() {
        return nextSequence++;
    }

    private Share fairShare(EntryId entry, Ask ask, Limits limits, int unseenEntries, int entryCount, long nowNanos) {
        Share total = Share.ofAll(limits);
        Share reservation = ShareBorrower.fallback(limits, entryCount);
        Share available = total;
        for (int index = 0; index < unseenEntries; index++) {
            available = available.minus(reservation);
        }
        for (Map.Entry<EntryId, Borrower> other : borrowers.entrySet()) {
            if (!other.getKey().equals(entry)) {
                available = available.minus(other.getValue().maximumShare());
            }
        }
        return entitlement(entry, ask, total, nowNanos).atMost(available);
    }

    /**
     * Returns the fair share in proportion to demand, regardless of the shares that are lent now. The shares of the
     * other entries shrink to their fair shares when they are renewed.
     */
    private Share entitlement(EntryId entry, Ask ask, Share total, long nowNanos) {
        double ownDemand = borrowers.get(entry).demand;
        double totalDemand = borrowers.values().stream()
                .filter(borrower -> nowNanos - borrower.requestedNanos < LIFETIME.toNanos())
                .mapToDouble(borrower -> borrower.demand)
                .sum();
        if (ownDemand <= 0) {
            return Share.none();
        }
        double fraction = ownDemand / totalDemand;
        double requested = Math.ceil(ownDemand * DEMAND_HEADROOM);
        double fairUnits = Math.floor(total.concurrent() * fraction);
        if (fairUnits < 1) {
            // There is less than one unit for each entry. An entry keeps the units of its running requests and returns
            // the others, so that the units circulate among the entries.
            fairUnits = ask.held().concurrent() > 0 ? ask.running() : 1;
        }
        return new Share((int) Math.min(requested, fairUnits), fraction);
    }

    /** Removes an entry that has terminated permanently. */
    void removeBorrower(EntryId entry) {
        borrowers.remove(entry);
    }

    /** Returns the maximum share that all entries may use together. */
    Share totalLent() {
        return borrowers.values().stream().map(Borrower::maximumShare).reduce(Share.none(), Share::plus);
    }
}
