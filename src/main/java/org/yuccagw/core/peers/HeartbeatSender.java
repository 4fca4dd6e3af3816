package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/** Sends the heartbeats of this entry, in rounds, to those that rely on them and to those that it doesn't hear. */
final class HeartbeatSender {
    /** The second lead is the backup of the first one and exchanges messages only in every second round. */
    private static final int SECOND_LEAD_PERIOD_ROUNDS = 2;

    private static final int UNREACHED_PERIOD_ROUNDS = 3;

    private final FleetTopology topology;
    private final PeerTable peers;
    private final LeadSearch leadSearch;
    private final Supplier<PeerStatus> status;
    private final Runnable onLeadsChanged;
    private final List<NetworkAddress> seeds;
    private final Map<EntryId, NetworkAddress> seedAddresses = new HashMap<>();
    private ControlContext context;
    private long round;

    private HeartbeatSender(
            FleetTopology topology,
            PeerTable peers,
            LeadSearch leadSearch,
            Supplier<PeerStatus> status,
            Runnable onLeadsChanged,
            List<NetworkAddress> seeds) {
        this.topology = topology;
        this.peers = peers;
        this.leadSearch = leadSearch;
        this.status = status;
        this.onLeadsChanged = onLeadsChanged;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Creates the sender of one entry.
     *
     * @param status creates the heartbeat
     * @param onLeadsChanged called when leads that don't answer may have been excluded
     * @param seeds addresses at which other entries may receive peer messages; may be outdated
     */
    static HeartbeatSender of(
            FleetTopology topology,
            PeerTable peers,
            LeadSearch leadSearch,
            Supplier<PeerStatus> status,
            Runnable onLeadsChanged,
            List<NetworkAddress> seeds) {
        return new HeartbeatSender(topology, peers, leadSearch, status, onLeadsChanged, seeds);
    }

    void start(ControlContext startContext) {
        context = startContext;
        for (NetworkAddress seed : seeds) {
            if (!seed.equals(context.self().peerAddress())) {
                seedAddresses.put(EntryId.of("seed " + seed), seed);
            }
        }
    }

    void beginRound() {
        round++;
    }

    long round() {
        return round;
    }

    boolean isTurnOfSecondLead() {
        return round % SECOND_LEAD_PERIOD_ROUNDS == 0;
    }

    /** Returns the addresses at which no entry is known yet, by names that stand for these entries. */
    ImmutableMap<EntryId, NetworkAddress> seedAddresses() {
        return ImmutableMap.copyOf(seedAddresses);
    }

    /** Forgets a seed, since an entry with that address is known. */
    void forgetSeed(NetworkAddress address) {
        seedAddresses.values().remove(address);
    }

    /** Sends to every known entry, to those that aren't alive only now and then. */
    void sendToAll() {
        PeerStatus heartbeat = status.get();
        peers.forEach((entry, peer) -> {
            if (peer.isAlive() || isTurnOfUnreached()) {
                context.send(entry, heartbeat);
            }
        });
    }

    void sendToSeeds() {
        if (round % UNREACHED_PERIOD_ROUNDS == 1 && !seedAddresses.isEmpty()) {
            PeerStatus heartbeat = status.get();
            seedAddresses.keySet().forEach(seed -> context.send(seed, heartbeat));
        }
    }

    /**
     * Sends the heartbeat of an entry that isn't a lead to its leads. A lead sends digests instead, and a heartbeat
     * only to entries of its domain that it doesn't hear.
     *
     * @param toAllLeads whether the leads of all domains are sent the heartbeat too, also those not heard yet
     */
    void sendToLeads(boolean toAllLeads) {
        Set<EntryId> receivers = new LinkedHashSet<>();
        if (!topology.isAmongLeads()) {
            leadSearch.follow(topology.leadsOfOwnDomain());
            onLeadsChanged.run();
            topology.leadsOfOwnDomain().stream()
                    .limit(isTurnOfSecondLead() ? LeadOrder.LEADS_PER_DOMAIN : 1)
                    .forEach(receivers::add);
            receivers.addAll(leadSearch.fallbackEntries());
        } else if (isTurnOfUnreached()) {
            receivers.addAll(leadSearch.unheardEntries());
        }
        if (toAllLeads) {
            topology.view().allLeads().forEach(receivers::add);
        }
        receivers.remove(context.self().entry());
        PeerStatus heartbeat = status.get();
        receivers.forEach(entry -> context.send(entry, heartbeat));
    }

    private boolean isTurnOfUnreached() {
        return round % UNREACHED_PERIOD_ROUNDS == 0;
    }
}
