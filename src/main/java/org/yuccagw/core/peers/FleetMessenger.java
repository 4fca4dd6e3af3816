package org.yuccagw.core.peers;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.port.PeerMessage;

/** Sends messages to groups of other entries. */
public final class FleetMessenger {
    private final FleetTopology topology;
    private final PeerTable peers;
    private final Supplier<? extends Iterable<EntryId>> followers;
    private ControlContext context;

    /**
     * Creates the messenger of one entry.
     *
     * @param followers the entries that rely on the digests of this one
     */
    FleetMessenger(FleetTopology topology, PeerTable peers, Supplier<? extends Iterable<EntryId>> followers) {
        this.topology = topology;
        this.peers = peers;
        this.followers = followers;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** Sends to the entries that rely on this one; in a mesh to none. */
    public void sendToFollowers(PeerMessage message) {
        if (!topology.isMeshed()) {
            Set<EntryId> receivers = new LinkedHashSet<>();
            followers.get().forEach(receivers::add);
            receivers.addAll(topology.ownLeads());
            sendTo(List.copyOf(receivers), message);
        }
    }

    /** Sends to every entry that places requests or may soon: in a mesh all live entries, otherwise all leads. */
    public void sendToAllLeads(PeerMessage message) {
        sendToAliveOr(topology::allLeads, message);
    }

    /** Sends to the leads of the own failure domain; in a mesh to all live entries. */
    public void sendToOwnLeads(PeerMessage message) {
        sendToAliveOr(topology::ownLeads, message);
    }

    /**
     * Sends an update of an endpoint to the entries that place requests on it: in a mesh all live entries, otherwise
     * the first lead of the endpoint's failure domain.
     */
    public void sendToFirstLeadOf(FailureDomain domain, PeerMessage message) {
        sendToAliveOr(
                () -> topology.view().servingLeadsOf(domain).stream().limit(1).toList(), message);
    }

    private void sendToAliveOr(Supplier<List<EntryId>> leads, PeerMessage message) {
        if (topology.isMeshed()) {
            sendToAlive(message);
        } else {
            sendTo(leads.get(), message);
        }
    }

    private void sendToAlive(PeerMessage message) {
        peers.forEach((entry, peer) -> {
            if (peer.isAlive()) {
                context.send(entry, message);
            }
        });
    }

    private void sendTo(List<EntryId> receivers, PeerMessage message) {
        receivers.stream()
                .filter(entry -> !entry.equals(context.self().entry()))
                .forEach(entry -> context.send(entry, message));
    }
}
