package org.yuccagw.core.peers;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/**
 * This entry's share of what all entries together may do, for limits that hold for the whole fleet.
 *
 * <p>Entries divide a limit without communication, and each may see only a part of the fleet: after a partition, after
 * its own start, or after a pause. Two rules keep the sum of all shares at one:
 *
 * <ol>
 *   <li>An entry that isn't seen any more keeps its share for {@link #RETENTION}, since it may be on the other side of
 *       a partition and continue to use it.
 *   <li>A share that has grown may be used only after it has been held for the period in which the limit is counted.
 *       What its previous owner used is no longer counted then. Before its start an entry held none.
 * </ol>
 */
public final class FleetShares {
    /** Longer than the partitions and outages that a deployment has to bear. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /**
     * Divides the share of an entry that isn't a connected lead but places requests alone, since there may be many such
     * entries at once.
     */
    private static final int LONE_SHARE_DIVISOR = 5;

    private final Map<EntryId, Sighting> sightings = new HashMap<>();
    private final Deque<Held> history = new ArrayDeque<>();
    private ControlContext context;
    private long startedNanos;
    private int entries = 1;
    private int domains = 1;

    FleetShares() {}

    private record Sighting(FailureDomain domain, long nanos) {}

    /** A share that was held until a time. */
    private record Held(double share, long untilNanos) {}

    void start(ControlContext startContext) {
        context = startContext;
        startedNanos = context.nowNanos();
    }

    /** Returns the number of entries among which limits are divided, including this one. */
    public int entries() {
        return entries;
    }

    /**
     * Returns the smallest share of the limits on placements that this entry has held within a period, between 0 and 1.
     *
     * @param period in which the limit is counted
     */
    public double placingShare(Duration period) {
        long oldestNanos = context.nowNanos() - period.toNanos();
        if (startedNanos - oldestNanos > 0) {
            return 0;
        }
        return history.stream()
                .filter(held -> held.untilNanos() - oldestNanos >= 0)
                .mapToDouble(Held::share)
                .min()
                .orElse(0);
    }

    /**
     * Updates the shares from the known entries.
     *
     * @param meshed whether every entry places requests; otherwise leads do
     * @param connectedLead whether this entry is a lead and not separated from most of its failure domain
     */
    void update(Collection<Peer> known, boolean meshed, boolean connectedLead) {
        long now = context.nowNanos();
        known.forEach(peer -> sightings.put(
                peer.contact().entry(), new Sighting(peer.contact().domain(), now)));
        sightings.values().removeIf(sighting -> now - sighting.nanos() > RETENTION.toNanos());
        entries = 1 + sightings.size();
        domains = countDomains();
        hold(currentShare(meshed, connectedLead), now);
    }

    private int countDomains() {
        Set<FailureDomain> present = new HashSet<>();
        present.add(context.self().domain());
        sightings.values().forEach(sighting -> present.add(sighting.domain()));
        return present.size();
    }

    private double currentShare(boolean meshed, boolean connectedLead) {
        if (meshed) {
            return 1.0 / entries;
        }
        return connectedLead ? 1.0 / (LeadOrder.LEADS_PER_DOMAIN * domains) : 1.0 / (LONE_SHARE_DIVISOR * entries);
    }

    private void hold(double share, long now) {
        Held last = history.peekLast();
        if (last != null && last.share() == share) {
            history.removeLast();
        }
        history.addLast(new Held(share, now));
        history.removeIf(held -> now - held.untilNanos() > RETENTION.toNanos());
    }
}
