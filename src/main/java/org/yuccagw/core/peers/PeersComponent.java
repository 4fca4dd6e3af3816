package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.port.PeerMessage;

/**
 * Heartbeats between entries: who lives, what each knows and what it carries.
 *
 * <p>A few entries send their status to every other one, a <em>mesh</em>. From {@link #MOST_IN_MESH} on that would cost
 * messages by the square of their number, so each failure domain has two <em>leads</em>, the first two of {@link
 * LeadOrder}. Then it goes like this:
 *
 * <ol>
 *   <li>Every entry sends its status to the leads of its domain.
 *   <li>Who hears a status from an entry of its domain answers with digests from then on. So an entry makes a lead of
 *       another one by turning to it, and the two need not agree on who leads.
 *   <li>A lead knows its domain by the statuses that it hears, and tells this roster to the leads of the other domains;
 *       what those tell it of theirs it passes on. Members of a roster travel when they change, otherwise its digest.
 *   <li>An entry believes the rosters of one lead at a time: the first in the order that sends digests. The leads of
 *       a domain believe what they hear themselves.
 * </ol>
 *
 * <p>An entry counts as alive until {@link #MISSED} intervals have passed without a sign of it: its own message, or
 * its name in a roster that is believed. A caller that is sent to a dead entry loses a second of its time on the
 * connection alone, so this has to be quick.
 *
 * <p>When all leads of a domain die at once, its entries miss their digests for as long, choose the next two, and those
 * answer at once with what they know. While an entry hears no digest at all it turns to more and more others.
 *
 * <p>Example with 95 entries in five domains: an ordinary entry sends 3 and receives 3 messages a second, a first
 * lead some 45 each, where a mesh at the same interval sends and receives 190 at every entry.
 */
public final class PeersComponent implements ControlComponent {
    /** How many entries lead one failure domain at most. */
    public static final int LEADS_OF_DOMAIN = LeadOrder.LEADS;

    /** Time after a start by which the other entries have been heard or found in the key-value service. */
    public static final Duration FLEET_UNKNOWN = Duration.ofSeconds(2);

    /** In a mesh of 16 an entry sends 50 messages a second, as much as a lead of 16 others. */
    static final int MOST_IN_MESH = 16;

    /** A mesh that had grown is one again below this, so that one entry that comes and goes changes nothing. */
    private static final int MOST_TO_MESH_AGAIN = 12;

    private static final Duration MESH_INTERVAL = Duration.ofMillis(300);

    /** A lead takes an entry for dead after three of these, and tells it 60 ms later. */
    static final Duration DOMAIN_INTERVAL = Duration.ofMillis(500);

    /** The second lead is there for the death of the first one, and hears and tells half as much. */
    private static final int SECOND_LEAD_EVERY = 2;

    /** A lead looks for deaths more often than it beats, since callers lose a second each on a dead entry. */
    private static final Duration LOOK_FOR_DEATHS = Duration.ofMillis(100);

    private static final int MISSED = 3;
    private static final int MISSED_IN_MESH = 4;
    private static final int UNHEARD_EVERY = 3;

    /** By then an entry that goes on unheard has lost its connections or is stopped. */
    private static final Duration SILENT_STILL = Duration.ofSeconds(3);

    /** How long an entry that sent a heartbeat or a digest counts as follower or lead without a further one. */
    private static final Duration FOLLOWED = DOMAIN_INTERVAL.multipliedBy(MISSED);

    /** Changes of rosters are told after so long, all that came meanwhile together. */
    private static final Duration PUSH_DELAY = Duration.ofMillis(60);

    /**
     * How long whom a roster names counts as alive without a further one. When the leads of a domain die together, the
     * others find out after {@link #FOLLOWED}, turn to the next ones within a beat and hear from them; until then they
     * must not take each other for dead.
     */
    private static final Duration ROSTER_LIFE = FOLLOWED.plus(DOMAIN_INTERVAL.multipliedBy(3));

    private final Knowledge knowledge;
    private final List<NetworkAddress> seeds;
    private final Map<EntryId, NetworkAddress> seedNames = new HashMap<>();
    private final PeerTable peers = new PeerTable(this::onContact, this::onChange);
    private final PeerRosters rosters = new PeerRosters();
    private final RosterIntake intake = new RosterIntake(peers, rosters, this::isFirstLead, FOLLOWED, ROSTER_LIFE);
    private final LeadSearch search = new LeadSearch(peers, intake, FOLLOWED);
    private final DigestSender digests;
    private ControlContext context;
    private FailureDomain ownDomain;
    private boolean meshed = true;
    private boolean leaving;
    private boolean wasReady;
    private boolean everReady;
    private boolean pushScheduled;
    private boolean looksForDeaths;
    private long round;
    private Optional<FleetView> view = Optional.empty();
    private Optional<PeersSnapshot> snapshot = Optional.empty();

    /** What the other parts of this entry know, for its own heartbeat. */
    public interface Knowledge {
        /** Why this entry can't serve, empty if it can. */
        String reasonAgainst(long nowNanos);

        long revision();

        /** When the key-value service last confirmed what is known, monotonic; empty if it never did. */
        OptionalLong confirmedNanos();

        ImmutableList<PeerStatus.Load> loads();

        ImmutableList<EndpointIncarnation> loading();

        ImmutableList<PeerStatus.Weights> weights();
    }

    /** Another entry sent its status. */
    public record PeerHeard(EntryId entry, PeerStatus status) implements ControlEvent {}

    /** Another entry hasn't been heard for too long, or started anew. */
    public record PeerLost(EntryId entry) implements ControlEvent {}

    private PeersComponent(Knowledge knowledge, List<NetworkAddress> seeds) {
        this.knowledge = knowledge;
        this.seeds = List.copyOf(seeds);
        this.digests = new DigestSender(peers, rosters, this::view, this::status, knowledge::confirmedNanos, FOLLOWED);
    }

    /**
     * The heartbeats of one entry.
     *
     * @param seeds where other entries may listen for peers; may be stale
     */
    public static PeersComponent of(Knowledge knowledge, List<NetworkAddress> seeds) {
        return new PeersComponent(knowledge, seeds);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        peers.start(startContext);
        intake.start(startContext);
        search.start(startContext);
        digests.start(startContext);
        ownDomain = context.self().domain();
        for (NetworkAddress seed : seeds) {
            if (!seed.equals(context.self().peerAddress())) {
                seedNames.put(EntryId.of("seed " + seed), seed);
            }
        }
        beat();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received) {
            receive(received);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EntryListed listed) {
            list(listed.contact());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EntrySubject subject) {
            peers.unlist(subject.entry());
        } else if (event instanceof PeerLost lost) {
            rosters.forgetTold(lost.entry());
        } else if (event instanceof StopRequested && !leaving) {
            leaving = true;
        }
        noteReadiness();
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshotBuilder) {
        snapshotBuilder.put(PeersSnapshot.class, snapshot());
    }

    // ---- What other parts ask.

    /** Entries that are alive, this one included. */
    public int aliveCount() {
        return 1 + peers.aliveCount();
    }

    /** Entries of which this one knows, those that have died lately and this one included. */
    public int knownCount() {
        return 1 + peers.size();
    }

    /**
     * The entries that take requests, this one included if it does. One that has fallen silent counts for
     * {@link #SILENT_STILL} as one that may go on; if most have, all count, since this one is cut off rather than they.
     */
    public List<EntryContact> servingOrSilent() {
        long now = context.nowNanos();
        boolean cutOff = aliveCount() * 2 <= knownCount();
        List<EntryContact> entries = new ArrayList<>();
        if (reason().isEmpty()) {
            entries.add(ownContact());
        }
        for (Peer peer : peers.all()) {
            boolean lately = peer.isAlive() || peer.silentNanos(now) < SILENT_STILL.toNanos();
            if (peer.isReady() && (lately || cutOff)) {
                entries.add(peer.contact());
            }
        }
        return entries;
    }

    /** Whether over half of the known entries of the own failure domain are alive, this one included. */
    public boolean hearsMostOfOwnDomain() {
        int known = 1;
        int alive = 1;
        for (Peer peer : peers.all()) {
            if (peer.contact().domain().equals(ownDomain)) {
                known++;
                alive += peer.isAlive() ? 1 : 0;
            }
        }
        return alive * 2 > known;
    }

    /** Entries that are alive and take requests, this one included if it does, in the order of their ids. */
    public List<EntryId> serving() {
        return FleetView.ids(view().serving());
    }

    /** Whether the fleet is small enough that every entry hears every other one. */
    public boolean isMeshed() {
        return meshed;
    }

    /** Whether this entry is the first lead of its failure domain, which reads the key-value service for the others. */
    public boolean isFirstLead() {
        return !meshed
                && view().leadsOf(ownDomain).stream()
                        .findFirst()
                        .equals(Optional.of(context.self().entry()));
    }

    /** The leads of the own failure domain that serve, the first one first; in a mesh all entries that serve. */
    public List<EntryId> ownLeads() {
        return meshed ? serving() : view().servingLeadsOf(ownDomain);
    }

    /** The first lead of each failure domain; in a mesh all entries that serve. */
    public List<EntryId> firstLeads() {
        return meshed ? serving() : view().servingLeadsOfAll(1);
    }

    /** All leads of all failure domains that serve; in a mesh all entries that serve. */
    public List<EntryId> allLeads() {
        return meshed ? serving() : view().servingLeadsOfAll(LeadOrder.LEADS);
    }

    /** Sends to those that rely on this entry. */
    public void tellFollowers(PeerMessage message) {
        if (!meshed) {
            Set<EntryId> receivers = new LinkedHashSet<>(digests.followers());
            receivers.addAll(ownLeads());
            sendTo(List.copyOf(receivers), message);
        }
    }

    /** Sends to every entry that places requests or may soon: in a mesh all that are alive, else all leads. */
    public void tellAll(PeerMessage message) {
        if (meshed) {
            tellAlive(message);
            return;
        }
        sendTo(allLeads(), message);
    }

    /** Sends to the leads of the own failure domain; in a mesh to all that are alive. */
    public void tellOwnLeads(PeerMessage message) {
        if (meshed) {
            tellAlive(message);
            return;
        }
        sendTo(ownLeads(), message);
    }

    /** Sends what changed on an endpoint to those that place requests there. */
    public void tellOfEndpoint(FailureDomain domain, PeerMessage message) {
        if (meshed) {
            tellAlive(message);
            return;
        }
        sendTo(view().servingLeadsOf(domain).stream().limit(1).toList(), message);
    }

    /** Sends this entry's status now, for news that others should have before the next heartbeat. */
    public void beatNow() {
        PeerStatus status = status();
        if (meshed) {
            tellAlive(status);
        } else {
            sendTo(allLeads(), status);
        }
    }

    private void tellAlive(PeerMessage message) {
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

    private boolean isAmongLeads() {
        return view().leadsOf(ownDomain).contains(context.self().entry());
    }

    // ---- The view.

    private FleetView view() {
        if (view.isEmpty()) {
            boolean serves = reason().isEmpty();
            boolean mayLead = serves || (!everReady && !leaving);
            view = Optional.of(FleetView.of(ownContact(), serves, mayLead, peers.all(), context.nowNanos()));
        }
        return view.get();
    }

    private PeersSnapshot snapshot() {
        if (snapshot.isEmpty()) {
            String reason = reason();
            ImmutableMap.Builder<EntryId, NetworkAddress> addresses = ImmutableMap.builder();
            addresses.putAll(seedNames);
            peers.forEach((entry, peer) -> addresses.put(entry, peer.contact().peers()));
            snapshot = Optional.of(
                    new PeersSnapshot(view().serving(), reason.isEmpty(), reason, addresses.buildOrThrow()));
        }
        return snapshot.get();
    }

    private void changed() {
        view = Optional.empty();
        snapshot = Optional.empty();
    }

    private void onContact(EntryContact contact) {
        seedNames.values().remove(contact.peers());
        changed();
    }

    private void onChange() {
        changed();
        pushSoon();
    }

    // ---- Sending.

    private void beat() {
        context.after(interval(), this::beat);
        round++;
        noticeMode();
        peers.noticeDeaths().forEach(rosters::forgetTold);
        changed();
        noteReadiness();
        if (meshed) {
            sendToAll();
        } else {
            digests.noteOwnRoster(wasReady);
            sendToLeads();
            sendDigestsInTurn();
            lookForDeaths();
        }
        sendToSeeds();
    }

    private Duration interval() {
        return meshed ? MESH_INTERVAL : DOMAIN_INTERVAL;
    }

    private boolean isTurnOfSecondLead() {
        return round % SECOND_LEAD_EVERY == 0;
    }

    private void lookForDeaths() {
        if (!isFirstLead() || looksForDeaths) {
            return;
        }
        looksForDeaths = true;
        context.after(LOOK_FOR_DEATHS, () -> {
            looksForDeaths = false;
            peers.noticeDeaths().forEach(rosters::forgetTold);
            lookForDeaths();
        });
    }

    private void noticeMode() {
        int entries = peers.size() + 1;
        boolean large = meshed ? entries > MOST_IN_MESH : entries > MOST_TO_MESH_AGAIN;
        if (large == meshed) {
            meshed = !large;
            changed();
            context.perform(Decision.of("heartbeats-changed")
                    .with("mesh", meshed)
                    .with("entries", entries)
                    .with("leads", ownLeads()));
        }
    }

    /**
     * Tells others at once when this entry becomes ready or stops being so.
     *
     * <p>Guards against directories that lack an entry which could serve: after a loss of power of all entries each
     * came back 0.3 s later than it had to, the time until its next heartbeat, and callers crowded the few that were
     * named. A lead that stops tells its followers and the other leads, so that they turn to the next one before
     * it is gone.
     */
    private void noteReadiness() {
        String reason = reason();
        if (reason.isEmpty() == wasReady) {
            return;
        }
        boolean led = isAmongLeads();
        wasReady = reason.isEmpty();
        everReady |= wasReady;
        changed();
        noticeMode();
        context.perform(Decision.of(wasReady ? "ready" : "not-ready").with("reason", reason));
        if (meshed) {
            PeerStatus status = status();
            peers.ids().forEach(entry -> context.send(entry, status));
        } else {
            digests.noteOwnRoster(wasReady);
            sendToLeads();
            digests.send(false, led || isAmongLeads(), round);
        }
    }

    private void sendToAll() {
        PeerStatus status = status();
        peers.forEach((entry, peer) -> {
            if (peer.isAlive() || round % UNHEARD_EVERY == 0) {
                context.send(entry, status);
            }
        });
    }

    private void sendToSeeds() {
        if (round % UNHEARD_EVERY == 1 && !seedNames.isEmpty()) {
            PeerStatus status = status();
            seedNames.keySet().forEach(seed -> context.send(seed, status));
        }
    }

    /** The heartbeat of an entry that isn't a lead; a lead sends digests instead. */
    private void sendToLeads() {
        Set<EntryId> receivers = new LinkedHashSet<>();
        if (!isAmongLeads()) {
            search.turnTo(view().leadsOf(ownDomain));
            changed();
            view().leadsOf(ownDomain).stream()
                    .limit(isTurnOfSecondLead() ? LeadOrder.LEADS : 1)
                    .forEach(receivers::add);
            receivers.addAll(search.furtherWithoutDigest());
        }
        if (!knowledge.loading().isEmpty() || !knowledge.weights().isEmpty()) {
            receivers.addAll(allLeads());
        }
        receivers.remove(context.self().entry());
        PeerStatus status = status();
        receivers.forEach(entry -> context.send(entry, status));
    }

    /** The first lead sends at each beat; others that are followed send less often. */
    private void sendDigestsInTurn() {
        if (isFirstLead() || isTurnOfSecondLead()) {
            digests.send(false, isAmongLeads(), round);
        }
    }

    private void pushSoon() {
        if (!pushScheduled && !meshed) {
            pushScheduled = true;
            context.after(PUSH_DELAY, () -> {
                pushScheduled = false;
                digests.noteOwnRoster(wasReady);
                digests.send(true, isAmongLeads(), round);
            });
        }
    }

    private String reason() {
        return leaving ? "is stopping" : knowledge.reasonAgainst(context.nowNanos());
    }

    private PeerStatus status() {
        return new PeerStatus(
                ownContact(),
                reason().isEmpty(),
                leaving,
                knowledge.revision(),
                interval().toMillis(),
                knowledge.loads(),
                knowledge.loading(),
                knowledge.weights());
    }

    private EntryContact ownContact() {
        return EntryContact.of(context.self());
    }

    // ---- Receiving.

    private void receive(PeerReceived received) {
        if (received.message() instanceof PeerStatus status) {
            hear(status).ifPresent(peer -> onStatus(status.contact().entry(), peer));
        } else if (received.message() instanceof DomainDigest digest) {
            hear(digest.status()).ifPresent(peer -> onDigest(digest, peer));
        } else if (received.message() instanceof RosterRequest request) {
            rosters.forgetTold(received.from(), request.domain());
            pushSoon();
        }
    }

    /** A new follower gets a digest at once, so that it knows its domain as soon as this entry does. */
    private void onStatus(EntryId entry, Peer peer) {
        long now = context.nowNanos();
        boolean follows = peer.follows(now, FOLLOWED.toNanos());
        peer.sentStatus(now);
        if (!meshed && !follows && peer.contact().domain().equals(ownDomain)) {
            digests.noteOwnRoster(wasReady);
            digests.sendTo(entry);
        }
    }

    private void onDigest(DomainDigest digest, Peer sender) {
        sender.sentDigest(context.nowNanos());
        if (digest.confirmedAgeMillis().isPresent()) {
            long age =
                    Duration.ofMillis(digest.confirmedAgeMillis().getAsLong()).toNanos();
            context.raise(
                    new KeyValueFollowComponent.PeerConfirmed(digest.status().revision(), context.nowNanos() - age));
        }
        boolean news = false;
        for (Roster roster : digest.rosters()) {
            news |= intake.take(roster, sender.contact());
        }
        if (news) {
            pushSoon();
        }
    }

    private Optional<Peer> hear(PeerStatus status) {
        EntryId entry = status.contact().entry();
        long now = context.nowNanos();
        Optional<Peer> heard = peers.meet(status.contact());
        heard.ifPresent(peer -> {
            long interval = Duration.ofMillis(status.intervalMillis()).toNanos();
            peer.heard(now, now + (meshed ? MISSED_IN_MESH : MISSED) * interval);
            if (peers.revive(peer, status.ready()) && meshed) {
                context.perform(Decision.of("peer-alive")
                        .with("peer", entry)
                        .with("address", peer.contact().peers()));
            }
            context.raise(new PeerHeard(entry, status));
            context.raise(new KeyValueFollowComponent.PeerRevisionHeard(entry, status.revision()));
        });
        return heard;
    }

    // ---- Registrations.

    private void list(EntryContact contact) {
        boolean isNew = peers.of(contact.entry()).isEmpty();
        peers.meet(contact).ifPresent(peer -> {
            peer.listed(true);
            if (isNew && wasReady && meshed) {
                context.send(contact.entry(), status());
            }
        });
        changed();
    }
}
