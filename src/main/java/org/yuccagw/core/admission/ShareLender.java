package org.yuccagw.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.admission.SharePeerMessage.Ask;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.id.EntryId;

/**
 * Lends the limits of one workspace or service to entries, at the owner of its shard.
 *
 * <p>Invariant: what entries may use together never passes the limit. Each entry is counted with the largest share
 * that it may use: every grant since the newest one that it named in an ask. A grant that was lost on the way is
 * counted too, and a share that wasn't renewed goes on being counted, since its entry, cut off from this owner, may
 * go on using a part of it; only the entry's word or its death ends that.
 *
 * <p>A new owner knows nothing of the grants before it. Until those have run out it only confirms what entries say
 * they hold. After that it keeps {@code limit / entries} back for each living entry that it has not heard from,
 * which is the most that such an entry uses by itself; see {@link ShareBorrower}.
 *
 * <p>Example: limit 8, three entries. Entry 1 asks with demand 10 and gets 8. Entry 2 asks with demand 10 and gets
 * 0, as all is lent. Entry 1 renews and now gets its fair 4; once it names that grant, entry 2 gets 4.
 */
final class ShareLender {
    /**
     * Life of a share from the ask on; renewed twice in it. Callers wait for a new owner for this long and a tenth, and
     * are refused after a few seconds.
     */
    static final Duration LIFE = Duration.ofSeconds(2);

    /** How long a new owner waits for the grants before it to run out. */
    static final Duration WAIT_OUT = LIFE.plus(LIFE.dividedBy(10));

    private static final double HEADROOM = 1.25;

    private final long settledNanos;
    private final Map<EntryId, Borrower> borrowers = new HashMap<>();
    private long nextSequence = 1;

    ShareLender(long gainedNanos, Duration waitOut) {
        this.settledNanos = gainedNanos + waitOut.toNanos();
    }

    /** What is known of one entry: its grants by number, the one that it named last included. */
    private static final class Borrower {
        private final Map<Long, Share> grants = new HashMap<>();
        private double demand;
        private long askedNanos;

        private Share mayUse() {
            return grants.values().stream().reduce(Share.none(), Share::atLeast);
        }
    }

    /** A grant of this lender. */
    record Lent(Share share, long sequence) {}

    /**
     * Decides on an ask.
     *
     * @param named whether the grant that the ask names is of this owner
     * @param silent living entries of which this owner has heard nothing
     * @param entries living entries
     */
    Lent lend(EntryId entry, Ask ask, boolean named, Limits limits, int silent, int entries, long nowNanos) {
        Borrower borrower = borrowers.computeIfAbsent(entry, name -> new Borrower());
        long sequence = named ? ask.sequence() : 0;
        borrower.grants.keySet().removeIf(number -> number <= sequence);
        borrower.grants.put(sequence, ask.held());
        borrower.demand = ask.demand();
        borrower.askedNanos = nowNanos;
        boolean settled = nowNanos >= settledNanos;
        Share share = settled ? fairShare(entry, ask, limits, silent, entries, nowNanos) : ask.held();
        long number = nextSequence++;
        borrower.grants.put(number, share);
        return new Lent(share, number);
    }

    private Share fairShare(EntryId entry, Ask ask, Limits limits, int silent, int entries, long nowNanos) {
        Share whole = Share.whole(limits);
        Share reserved = ShareBorrower.alone(limits, entries);
        Share left = whole;
        for (int index = 0; index < silent; index++) {
            left = left.minus(reserved);
        }
        for (Map.Entry<EntryId, Borrower> other : borrowers.entrySet()) {
            if (!other.getKey().equals(entry)) {
                left = left.minus(other.getValue().mayUse());
            }
        }
        return entitlement(entry, ask, whole, nowNanos).atMost(left);
    }

    /** The fair part by demand, whatever is lent out now: others come down to theirs when they renew. */
    private Share entitlement(EntryId entry, Ask ask, Share whole, long nowNanos) {
        double own = borrowers.get(entry).demand;
        double all = borrowers.values().stream()
                .filter(borrower -> nowNanos - borrower.askedNanos < LIFE.toNanos())
                .mapToDouble(borrower -> borrower.demand)
                .sum();
        if (own <= 0) {
            return Share.none();
        }
        double fraction = own / all;
        double wanted = Math.ceil(own * HEADROOM);
        double fair = Math.floor(whole.concurrent() * fraction);
        if (fair < 1) {
            // Fewer than one each: an entry keeps what runs and else lets go, so that the units go round.
            fair = ask.held().concurrent() > 0 ? ask.running() : 1;
        }
        return new Share((int) Math.min(wanted, fair), fraction);
    }

    /** The entry is gone for good. */
    void forget(EntryId entry) {
        borrowers.remove(entry);
    }

    /** What all entries together may use at most. */
    Share lent() {
        return borrowers.values().stream().map(Borrower::mayUse).reduce(Share.none(), Share::plus);
    }
}
