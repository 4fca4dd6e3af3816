package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.KeyValueFollowComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.StopRequested;

/**
 * Exchanges heartbeats between entries, which carry their liveness, revision and load.
 *
 * <p>In a small fleet every entry sends its status to every other one, a <em>mesh</em>. With more than {@link
 * FleetTopology#MAX_MESH_ENTRIES} entries, the number of messages would be too high, since it grows with the square of
 * the number of entries. Each failure domain then has two <em>leads</em>, the first two of {@link LeadOrder}, and the
 * protocol is:
 *
 * <ol>
 *   <li>Every entry sends its status to the leads of its domain.
 *   <li>An entry that receives a status from an entry of its domain sends digests in return from then on. An entry thus
 *       makes another one its lead by sending it heartbeats, and the two need not agree on which entry leads.
 *   <li>A lead builds the roster of its domain from the statuses that it receives and sends it to the leads of the
 *       other domains. It forwards the rosters that these send to its followers. The members of a roster are sent when
 *       they have changed, otherwise only its digest.
 *   <li>An entry relies on the rosters of one lead at a time: the first in the order that sends digests. The leads of a
 *       domain rely on the heartbeats that they receive themselves.
 * </ol>
 *
 * <p>An entry counts as alive until {@link #MISSED_HEARTBEATS} intervals have passed without evidence, which is a
 * message of its own or its listing in a roster that is relied on. Detection has to be fast, since a caller that is
 * directed to a failed entry loses a second just by connecting.
 *
 * <p>When all leads of a domain fail at once, its entries receive no digests for the same time and then follow the next
 * two, which answer immediately with the state that they have. While an entry receives no digest at all, it sends its
 * heartbeats to more and more others.
 *
 * <p>Example with 95 entries in five domains: an ordinary entry sends and receives 3 messages per second each, a first
 * lead about 45 each. In a mesh with the same interval, every entry sends and receives 190.
 */
public final class PeersComponent implements ControlComponent {
    /** Maximum number of leads of one failure domain. */
    public static final int MAX_LEADS_PER_DOMAIN = LeadOrder.LEADS_PER_DOMAIN;

    /**
     * Time after the start of an entry by which it has received heartbeats from the others or found them in the
     * key-value service.
     */
    public static final Duration DISCOVERY_PERIOD = Duration.ofSeconds(2);

    private static final Duration MESH_HEARTBEAT_INTERVAL = Duration.ofMillis(300);

    /** A lead declares an entry failed after three of these intervals and reports it 60 ms later. */
    static final Duration LEAD_HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /**
     * Interval of the failure checks of the first lead. Shorter than its heartbeat interval, since each caller that is
     * directed to a failed entry loses a second.
     */
    private static final Duration FAILURE_CHECK_INTERVAL = Duration.ofMillis(100);

    private static final int MISSED_HEARTBEATS = 3;
    private static final int MISSED_MESH_HEARTBEATS = 4;

    /** By the end of this time, an entry that still sends no heartbeats has lost its connections or has stopped. */
    private static final Duration SILENCE_TOLERANCE = Duration.ofSeconds(3);

    /** How long an entry counts as a follower after its last heartbeat, or as a lead after its last digest. */
    private static final Duration FOLLOW_TIMEOUT = LEAD_HEARTBEAT_INTERVAL.multipliedBy(MISSED_HEARTBEATS);

    /** Delay until changes of rosters are sent, so that changes during this time are sent together. */
    private static final Duration ROSTER_PUSH_DELAY = Duration.ofMillis(60);

    /**
     * How long an entry that a roster lists counts as alive without a further roster. When all leads of a domain fail
     * at once, the other entries detect it after {@link #FOLLOW_TIMEOUT}, follow the next ones within one heartbeat
     * interval and receive their rosters; until then they must not declare each other failed. The only entry of a
     * domain is listed for this time after its failure, plus one heartbeat interval: no other lead can withdraw it.
     */
    private static final Duration ROSTER_TIME_TO_LIVE = FOLLOW_TIMEOUT.plus(Duration.ofMillis(900));

    private final LocalState localState;
    private final PeerTable peers = new PeerTable(this::onContact, this::onChange);
    private final PeerRosters rosters = new PeerRosters();
    private final FleetTopology topology = new FleetTopology(this::createView);
    private final RosterReceiver rosterReceiver =
            new RosterReceiver(peers, rosters, topology::isFirstLead, FOLLOW_TIMEOUT, ROSTER_TIME_TO_LIVE);
    private final LeadSearch leadSearch = new LeadSearch(peers, rosterReceiver, FOLLOW_TIMEOUT);
    private final FleetShares shares = new FleetShares();
    private final DigestSender digestSender;
    private final FleetMessenger messenger;
    private final HeartbeatSender heartbeats;
    private ControlContext context;
    private FailureDomain ownDomain;
    private boolean leaving;
    private boolean ready;
    private boolean everReady;
    private boolean pushScheduled;
    private boolean failureCheckScheduled;
    private Optional<PeersSnapshot> snapshot = Optional.empty();

    /** Raised when another entry sent its status. */
    public record PeerStatusReceived(EntryId entry, PeerStatus status) implements ControlEvent {}

    /**
     * Raised when there has been no evidence of another entry's liveness for too long, or the entry restarted.
     *
     * @param restarted whether a later incarnation of the entry is alive; otherwise the process may still run and be
     *     heard again
     */
    public record PeerLost(EntryId entry, boolean restarted) implements ControlEvent {}

    private PeersComponent(LocalState localState, List<NetworkAddress> seeds) {
        this.localState = localState;
        this.digestSender = new DigestSender(
                peers, rosters, topology::view, this::status, localState::confirmedNanos, FOLLOW_TIMEOUT);
        this.messenger = new FleetMessenger(topology, peers, digestSender::followers);
        this.heartbeats = HeartbeatSender.of(topology, peers, leadSearch, this::status, this::invalidateViews, seeds);
    }

    /**
     * Creates the component of one entry.
     *
     * @param seeds addresses at which other entries may receive peer messages; may be outdated
     */
    public static PeersComponent of(LocalState localState, List<NetworkAddress> seeds) {
        return new PeersComponent(localState, seeds);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        peers.start(startContext);
        topology.start(startContext);
        shares.start(startContext);
        messenger.start(startContext);
        rosterReceiver.start(startContext);
        leadSearch.start(startContext);
        digestSender.start(startContext);
        heartbeats.start(startContext);
        ownDomain = context.self().domain();
        sendHeartbeats();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received) {
            receive(received);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EntryListed listed) {
            onEntryListed(listed.contact());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EntrySubject subject) {
            peers.unlist(subject.entry());
        } else if (event instanceof PeerLost lost) {
            rosters.forgetSent(lost.entry());
        } else if (event instanceof StopRequested && !leaving) {
            leaving = true;
        }
        updateReadiness();
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshotBuilder) {
        snapshotBuilder.put(PeersSnapshot.class, snapshot());
    }

    // ---- Queries and messages of other components

    /** Returns the number of entries that are alive, including this one. */
    public int aliveCount() {
        return 1 + peers.aliveCount();
    }

    /** Returns the known other entries. */
    public List<EntryId> knownEntries() {
        return List.copyOf(peers.ids());
    }

    /** Returns whether the settings name addresses of entries that haven't been heard yet. */
    public boolean hasUnheardSeeds() {
        return !heartbeats.seedAddresses().isEmpty();
    }

    /** Returns the number of known entries, including this one and those that failed recently. */
    public int knownCount() {
        return 1 + peers.size();
    }

    /**
     * Returns the entries that take requests, including this one if it does. An entry that has become silent is
     * included for {@link #SILENCE_TOLERANCE}, since it may still run. If at least half of the known entries are
     * silent, all are included, since it is this entry that is disconnected rather than they.
     */
    public List<EntryContact> servingOrRecentlySilent() {
        long now = context.nowNanos();
        boolean disconnected = aliveCount() * 2 <= knownCount();
        List<EntryContact> entries = new ArrayList<>();
        if (reason().isEmpty()) {
            entries.add(ownContact());
        }
        for (Peer peer : peers.all()) {
            boolean recentlyAlive = peer.isAlive() || peer.silentNanos(now) < SILENCE_TOLERANCE.toNanos();
            if (peer.isReady() && (recentlyAlive || disconnected)) {
                entries.add(peer.contact());
            }
        }
        return entries;
    }

    /** Returns whether this entry is a lead of its failure domain and isn't partitioned from most of its entries. */
    public boolean isConnectedLead() {
        return topology.ownLeads().contains(context.self().entry()) && peers.isMajorityAlive(ownDomain);
    }

    /** Returns this entry's share of the limits that hold for the whole fleet. */
    public FleetShares shares() {
        return shares;
    }

    /** Returns who serves and leads in the fleet. */
    public FleetTopology topology() {
        return topology;
    }

    /** Returns the sender of messages to groups of other entries. */
    public FleetMessenger messenger() {
        return messenger;
    }

    /** Sends another entry the address of this one. */
    public void introduceTo(EntryId entry) {
        context.send(entry, new EntryIntroduction(ownContact()));
    }

    /** Sends this entry's status immediately, for changes that others should receive before the next heartbeat. */
    public void sendStatusNow() {
        messenger.sendToAllLeads(status());
    }

    // ---- View and snapshot

    private FleetView createView() {
        boolean serves = reason().isEmpty();
        boolean mayLead = serves || (!everReady && !leaving);
        return FleetView.of(ownContact(), serves, mayLead, peers.all(), context.nowNanos());
    }

    private PeersSnapshot snapshot() {
        if (snapshot.isEmpty()) {
            String reason = reason();
            ImmutableMap.Builder<EntryId, NetworkAddress> addresses = ImmutableMap.builder();
            addresses.putAll(heartbeats.seedAddresses());
            peers.forEach((entry, peer) -> addresses.put(entry, peer.contact().peers()));
            snapshot = Optional.of(
                    new PeersSnapshot(topology.view().serving(), reason.isEmpty(), reason, addresses.buildOrThrow()));
        }
        return snapshot.get();
    }

    private void invalidateViews() {
        topology.invalidate();
        snapshot = Optional.empty();
    }

    private void onContact(EntryContact contact) {
        heartbeats.forgetSeed(contact.peers());
        invalidateViews();
    }

    private void onChange() {
        invalidateViews();
        schedulePush();
    }

    // ---- Sending

    private void sendHeartbeats() {
        context.after(interval(), this::sendHeartbeats);
        heartbeats.beginRound();
        updateMode();
        peers.detectFailures().forEach(rosters::forgetSent);
        invalidateViews();
        updateReadiness();
        shares.update(peers.all(), topology.isMeshed(), isConnectedLead());
        if (topology.isMeshed()) {
            heartbeats.sendToAll();
        } else {
            digestSender.updateOwnRoster(ready);
            heartbeats.sendToLeads(hasNewsForAllLeads());
            sendDigestsInTurn();
            scheduleFailureCheck();
        }
        heartbeats.sendToSeeds();
    }

    private Duration interval() {
        return topology.isMeshed() ? MESH_HEARTBEAT_INTERVAL : LEAD_HEARTBEAT_INTERVAL;
    }

    private void scheduleFailureCheck() {
        if (!topology.isFirstLead() || failureCheckScheduled) {
            return;
        }
        failureCheckScheduled = true;
        context.after(FAILURE_CHECK_INTERVAL, () -> {
            failureCheckScheduled = false;
            peers.detectFailures().forEach(rosters::forgetSent);
            scheduleFailureCheck();
        });
    }

    private void updateMode() {
        int entries = knownCount();
        if (topology.updateMode(entries)) {
            invalidateViews();
            context.perform(Decision.of("heartbeats-changed")
                    .with("mesh", topology.isMeshed())
                    .with("entries", entries)
                    .with("leads", topology.ownLeads()));
        }
    }

    /**
     * Notifies the other entries immediately when this entry becomes ready or ceases to be ready.
     *
     * <p>Guards against directories that omit an entry which could serve: after a power failure of all entries, each
     * became available 0.3 s later than necessary, the time until its next heartbeat, and callers overloaded the few
     * entries that were listed. A lead that stops notifies its followers and the other leads, so that they follow the
     * next one before it terminates. An entry that becomes ready for the first time notifies the leads of all domains,
     * none of which it may have heard yet: it may be the only entry of its domain.
     */
    private void updateReadiness() {
        String reason = reason();
        if (reason.isEmpty() == ready) {
            return;
        }
        boolean wasLead = topology.isAmongLeads();
        boolean firstTime = !everReady;
        ready = reason.isEmpty();
        everReady |= ready;
        invalidateViews();
        updateMode();
        context.perform(Decision.of(ready ? "ready" : "not-ready").with("reason", reason));
        if (topology.isMeshed()) {
            PeerStatus status = status();
            peers.ids().forEach(entry -> context.send(entry, status));
        } else {
            digestSender.updateOwnRoster(ready);
            heartbeats.sendToLeads(firstTime || hasNewsForAllLeads());
            digestSender.send(false, wasLead || topology.isAmongLeads(), heartbeats.round());
        }
    }

    /** Returns whether engines load weights, or are known to run some, which all leads need to know at once. */
    private boolean hasNewsForAllLeads() {
        return !localState.loading().isEmpty() || !localState.weights().isEmpty();
    }

    /** Sends the digests of this round: the first lead in each, other entries with followers in every second one. */
    private void sendDigestsInTurn() {
        if (topology.isFirstLead() || heartbeats.isTurnOfSecondLead()) {
            digestSender.send(false, topology.isAmongLeads(), heartbeats.round());
        }
    }

    private void schedulePush() {
        if (!pushScheduled && !topology.isMeshed()) {
            pushScheduled = true;
            context.after(ROSTER_PUSH_DELAY, () -> {
                pushScheduled = false;
                digestSender.updateOwnRoster(ready);
                digestSender.send(true, topology.isAmongLeads(), heartbeats.round());
            });
        }
    }

    private String reason() {
        return leaving ? "is stopping" : localState.reasonNotReady(context.nowNanos());
    }

    private PeerStatus status() {
        return new PeerStatus(
                ownContact(),
                reason().isEmpty(),
                leaving,
                localState.revision(),
                interval().toMillis(),
                localState.loads(),
                localState.loading(),
                localState.weights(),
                localState.queued());
    }

    private EntryContact ownContact() {
        return EntryContact.of(context.self());
    }

    // ---- Receiving

    private void receive(PeerReceived received) {
        if (received.message() instanceof PeerStatus status) {
            recordHeartbeat(status).ifPresent(peer -> onStatus(status.contact().entry(), peer));
        } else if (received.message() instanceof DomainDigest digest) {
            recordHeartbeat(digest.status()).ifPresent(peer -> onDigest(digest, peer));
        } else if (received.message() instanceof EntryIntroduction introduction) {
            peers.update(introduction.contact());
        } else if (received.message() instanceof RosterRequest request) {
            rosters.forgetSent(received.from(), request.domain());
            schedulePush();
        }
    }

    /** Handles a status. A new follower is sent a digest immediately, so that it learns its domain without delay. */
    private void onStatus(EntryId entry, Peer peer) {
        long now = context.nowNanos();
        boolean alreadyFollows = peer.isFollower(now, FOLLOW_TIMEOUT.toNanos());
        peer.recordStatus(now);
        if (!topology.isMeshed() && !alreadyFollows && peer.contact().domain().equals(ownDomain)) {
            digestSender.updateOwnRoster(ready);
            digestSender.sendTo(entry);
        }
    }

    private void onDigest(DomainDigest digest, Peer sender) {
        sender.recordDigest(context.nowNanos());
        if (digest.confirmedAgeMillis().isPresent()) {
            long ageNanos =
                    Duration.ofMillis(digest.confirmedAgeMillis().getAsLong()).toNanos();
            context.raise(new KeyValueFollowComponent.LeadConfirmationReported(
                    digest.status().revision(), context.nowNanos() - ageNanos));
        }
        boolean changed = false;
        for (Roster roster : digest.rosters()) {
            changed |= rosterReceiver.receive(roster, sender.contact());
        }
        if (changed) {
            schedulePush();
        }
    }

    private Optional<Peer> recordHeartbeat(PeerStatus status) {
        EntryId entry = status.contact().entry();
        long now = context.nowNanos();
        Optional<Peer> updated = peers.update(status.contact());
        updated.ifPresent(peer -> {
            long intervalNanos = Duration.ofMillis(status.intervalMillis()).toNanos();
            peer.recordHeartbeat(
                    now, now + (topology.isMeshed() ? MISSED_MESH_HEARTBEATS : MISSED_HEARTBEATS) * intervalNanos);
            if (peers.markAlive(peer, status.ready()) && topology.isMeshed()) {
                context.perform(Decision.of("peer-alive")
                        .with("peer", entry)
                        .with("address", peer.contact().peers()));
            }
            context.raise(new PeerStatusReceived(entry, status));
            context.raise(new KeyValueFollowComponent.PeerRevisionReported(entry, status.revision()));
        });
        return updated;
    }

    // ---- Registrations

    private void onEntryListed(EntryContact contact) {
        peers.update(contact).ifPresent(peer -> {
            peer.setListed(true);
            if (!peer.isAlive() && ready && topology.isMeshed()) {
                context.send(contact.entry(), status());
            }
        });
        invalidateViews();
    }
}
