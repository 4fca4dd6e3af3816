package org.yuccagw.core.admission;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccagw.core.admission.SharePeerMessage.Ask;
import org.yuccagw.core.admission.SharePeerMessage.Grant;
import org.yuccagw.core.admission.SharePeerMessage.Present;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;

/**
 * The shares of limits on one entry, for both roles of the entry: a {@link ShareBorrower} for each limit that applies
 * to its requests, and a {@link ShareLender} for each limit of the shards that it owns.
 */
final class LimitShares {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final long RENEWAL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MIN_SHARE_REQUEST_INTERVAL_NANOS =
            Duration.ofMillis(20).toNanos();
    private static final long OWNER_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int PRESENT_MESSAGES_PER_OWNER = 3;

    private final ShardAuthority authority;
    private final Supplier<ShardsSnapshot> shards;
    private final Duration settlingTime;
    private final Map<LimitName, ShareBorrower> borrowers = new HashMap<>();
    private final Map<ShardNumber, OwnedShard> owned = new HashMap<>();
    private final Map<ShardNumber, LostShard> lost = new HashMap<>();
    private final Map<ShardNumber, SentPresence> sentPresences = new HashMap<>();
    private final Map<EntryId, Member> members = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private ControlContext context;
    private Runnable onChange = () -> {};

    LimitShares(ShardAuthority authority, Supplier<ShardsSnapshot> shards, Duration settlingTime) {
        this.settlingTime = settlingTime;
        this.authority = authority;
        this.shards = shards;
    }

    /** The lenders of one owned shard, and the entries from which a message for it was received. */
    private static final class OwnedShard {
        private final long epoch;
        private final long gainedNanos;
        private final Map<LimitName, ShareLender> lenders = new HashMap<>();
        private final Set<EntryId> seenEntries = new HashSet<>();

        private OwnedShard(long epoch, long gainedNanos) {
            this.epoch = epoch;
            this.gainedNanos = gainedNanos;
        }
    }

    /** A shard that this entry owned until its lease lapsed, while no later owner is known. */
    private record LostShard(OwnedShard shard, long lostNanos) {}

    /** The number of {@link Present} messages that this entry sent to the owner of a shard. */
    private record SentPresence(Ownership owner, int count) {}

    /**
     * Another entry.
     *
     * @param deadSinceNanos when it was first reported as dead, or {@link Long#MAX_VALUE} while it is alive
     */
    private record Member(long incarnation, long deadSinceNanos) {}

    void start(ControlContext startContext, Runnable changeListener) {
        context = startContext;
        onChange = changeListener;
        context.after(CHECK_INTERVAL, this::check);
    }

    // ---- Borrower role

    private ShareBorrower borrower(LimitName limit) {
        return borrowers.computeIfAbsent(limit, name -> {
            ShareBorrower borrower = new ShareBorrower(limits(name), context.nowNanos());
            borrower.setEntryCount(entryCount());
            return borrower;
        });
    }

    private Limits limits(LimitName limit) {
        Optional<Limits> found = limit.isWorkspace()
                ? catalogue.workspace(WorkspaceId.of(limit.name())).map(Workspace::limits)
                : catalogue.service(ServiceName.of(limit.name())).map(Service::limits);
        return found.orElse(Limits.unlimited());
    }

    boolean permits(WorkspaceId workspace, ServiceName service) {
        long now = context.nowNanos();
        return borrower(LimitName.of(workspace)).permits(now)
                && borrower(LimitName.of(service)).permits(now);
    }

    /** Consumes the shares that the request needs if they permit it. Returns whether they do. */
    boolean tryConsume(WaitingRequest request) {
        boolean permitted = permits(request.workspace(), request.service());
        if (permitted) {
            consume(request);
        }
        return permitted;
    }

    void consume(WaitingRequest request) {
        borrower(LimitName.of(request.workspace())).consume(request.costTokens());
        borrower(LimitName.of(request.service())).consume(request.costTokens());
    }

    void release(WaitingRequest request, long usedTokens) {
        borrower(LimitName.of(request.workspace())).release(request.costTokens(), usedTokens);
        borrower(LimitName.of(request.service())).release(request.costTokens(), usedTokens);
    }

    void addWaiting(WaitingRequest request, int change) {
        borrower(LimitName.of(request.workspace())).addWaiting(change);
        borrower(LimitName.of(request.service())).addWaiting(change);
    }

    double secondsUntilAdmitted(WaitingRequest request, ServiceGate gate) {
        return Math.max(
                secondsUntilAdmitted(LimitName.of(request.workspace()), gate),
                secondsUntilAdmitted(LimitName.of(request.service()), gate));
    }

    private double secondsUntilAdmitted(LimitName limit, ServiceGate gate) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        if (!borrower.isLimited()) {
            return 0;
        }
        if (!borrower.hasShare(now)) {
            return isUnobtainable(limit) ? Double.POSITIVE_INFINITY : 0;
        }
        return borrower.secondsUntilAdmitted(gate.meanRunSeconds(), gate.meanCostTokens(), now);
    }

    /**
     * Returns whether a required share is unobtainable: this entry has none, and the owner is unknown or has not
     * answered within its timeout, although it normally answers within a round trip.
     */
    boolean isUnobtainable(WorkspaceId workspace, ServiceName service) {
        return isUnobtainable(LimitName.of(workspace)) || isUnobtainable(LimitName.of(service));
    }

    private boolean isUnobtainable(LimitName limit) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        boolean lacksShare = borrower.isLimited() && !borrower.hasShare(now);
        boolean ownerTimedOut = borrower.pendingShareRequestNanos(now) >= OWNER_TIMEOUT_NANOS;
        return lacksShare && (ownerTimedOut || ownerOf(limit).isEmpty());
    }

    /** Returns a description of the limits of the workspace for the error message to the caller. */
    String describe(WaitingRequest request) {
        Limits limits = limits(LimitName.of(request.workspace()));
        return limits.concurrentRequests() + " requests at once, " + limits.requestsPerSecond() + " requests/s, "
                + limits.tokensPerSecond() + " tokens/s";
    }

    /**
     * Requests a larger share from the owner if the current one is exhausted. Requests are spaced so that the answer to
     * the previous request can have arrived.
     */
    void requestShareSoon(WorkspaceId workspace, ServiceName service) {
        requestShareSoon(LimitName.of(workspace));
        requestShareSoon(LimitName.of(service));
    }

    private void requestShareSoon(LimitName limit) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        boolean exhausted = borrower.isLimited() && !borrower.permits(now);
        if (exhausted && borrower.sinceLastShareRequestNanos(now) >= MIN_SHARE_REQUEST_INTERVAL_NANOS) {
            requestShare(limit, borrower);
        }
    }

    private void requestShare(LimitName limit, ShareBorrower borrower) {
        Optional<EntryId> owner = ownerOf(limit);
        if (owner.isEmpty()) {
            return;
        }
        long now = context.nowNanos();
        Share held = borrower.heldShare(now);
        borrower.recordShareRequest(now);
        ShardNumber shard = limit.shard(shards.get().count());
        send(
                owner.get(),
                new Ask(
                        shard,
                        limit,
                        held,
                        borrower.epoch(),
                        borrower.sequence(),
                        borrower.running(),
                        borrower.demand(now)));
    }

    private Optional<EntryId> ownerOf(LimitName limit) {
        ShardsSnapshot snapshot = shards.get();
        return snapshot.count() == 0
                ? Optional.empty()
                : snapshot.owner(limit.shard(snapshot.count())).map(Ownership::owner);
    }

    private void check() {
        long now = context.nowNanos();
        borrowers.forEach((limit, borrower) -> {
            boolean due = borrower.sinceLastShareRequestNanos(now) >= RENEWAL_INTERVAL_NANOS;
            if (due && borrower.isLimited() && borrower.needsRenewal()) {
                requestShare(limit, borrower);
            }
        });
        announcePresence();
        removeDeadMembers();
        context.after(CHECK_INTERVAL, this::check);
    }

    /** Sends {@link Present} to each new owner, so that the owner reserves no share for this entry. */
    private void announcePresence() {
        shards.get().owners().forEach((shard, owner) -> {
            SentPresence previous = sentPresences.get(shard);
            int count = previous != null && previous.owner().equals(owner) ? previous.count() : 0;
            if (count < PRESENT_MESSAGES_PER_OWNER) {
                sentPresences.put(shard, new SentPresence(owner, count + 1));
                send(owner.owner(), new Present(shard));
            }
        });
    }

    // ---- Lender role

    void handleShardGained(ShardGained gained) {
        owned.put(gained.shard(), new OwnedShard(gained.epoch(), context.nowNanos()));
        lost.remove(gained.shard());
    }

    void handleShardLost(ShardNumber shard) {
        OwnedShard before = owned.remove(shard);
        if (before != null) {
            lost.put(shard, new LostShard(before, context.nowNanos()));
        }
    }

    void receive(EntryId from, SharePeerMessage message) {
        if (message instanceof Grant grant) {
            applyGrant(grant);
            return;
        }
        OwnedShard shard = owned.get(message.shard());
        if (shard == null) {
            if (message instanceof Ask ask) {
                answerAfterLoss(from, ask);
            }
            return;
        }
        shard.seenEntries.add(from);
        if (message instanceof Ask ask) {
            lendIfOwned(from, ask, shard);
        }
    }

    private void applyGrant(Grant grant) {
        ShareBorrower borrower = borrowers.get(grant.limit());
        // A later owner counts only the shares that it lends itself, once it has received a message from this entry.
        boolean superseded = isOwnedSince(grant.shard(), grant.epoch() + 1);
        if (borrower != null && !superseded && borrower.applyGrant(grant, context.nowNanos())) {
            onChange.run();
        }
    }

    private void lendIfOwned(EntryId from, Ask ask, OwnedShard shard) {
        OptionalLong epoch = authority.epochIfHeld(ask.shard(), context.nowNanos());
        if (epoch.isPresent() && epoch.getAsLong() == shard.epoch) {
            lend(from, ask, shard, Share.ofAll(limits(ask.limit())));
        }
    }

    private void lend(EntryId from, Ask ask, OwnedShard shard, Share maximum) {
        boolean namesOwnGrant = ask.epoch() == shard.epoch;
        Limits limits = limits(ask.limit());
        int unseen = unseenMembers(shard);
        ShareLender.LentShare lent = lender(shard, ask.limit())
                .lend(from, ask, namesOwnGrant, limits, maximum, unseen, entryCount(), context.nowNanos());
        send(
                from,
                new Grant(ask.shard(), shard.epoch, ask.limit(), lent.share(), lent.sequence(), ShareLender.LIFETIME));
    }

    /**
     * Answers an entry after the lease of this owner has lapsed. In an outage of the key-value service there is no
     * later owner, and without an answer a workspace would be refused at each entry that has no share of its limits.
     *
     * <p>Once all shares that were lent under the lease have expired, this entry lends again, but at most
     * {@code limit / entries} to each entry: no entry uses more without a valid share, and a later owner reserves as
     * much for each entry from which it has received no message. Until then an entry without a share gets an empty one,
     * which lets its requests wait.
     */
    private void answerAfterLoss(EntryId from, Ask ask) {
        LostShard before = lost.get(ask.shard());
        if (before == null || isOwnedSince(ask.shard(), before.shard().epoch + 1)) {
            lost.remove(ask.shard());
            return;
        }
        OwnedShard shard = before.shard();
        if (context.nowNanos() - before.lostNanos() >= settlingTime.toNanos()) {
            shard.seenEntries.add(from);
            lend(from, ask, shard, ShareBorrower.fallback(limits(ask.limit()), entryCount()));
        } else if (ask.held().equals(Share.none())) {
            long sequence = lender(shard, ask.limit()).nextSequence();
            send(from, new Grant(ask.shard(), shard.epoch, ask.limit(), Share.none(), sequence, ShareLender.LIFETIME));
        }
    }

    private boolean isOwnedSince(ShardNumber shard, long epoch) {
        return shards.get()
                .owner(shard)
                .filter(ownership -> ownership.epoch() >= epoch)
                .isPresent();
    }

    private ShareLender lender(OwnedShard shard, LimitName limit) {
        return shard.lenders.computeIfAbsent(limit, name -> new ShareLender(shard.gainedNanos, settlingTime));
    }

    /**
     * Returns the number of entries that may still use shares granted by a previous owner and from which this owner has
     * received no message.
     */
    private int unseenMembers(OwnedShard shard) {
        return (int) members.keySet().stream()
                .filter(member -> !shard.seenEntries.contains(member))
                .count();
    }

    private int entryCount() {
        return Math.max(1, members.size() + 1);
    }

    // ---- Members

    void handleMembers(ImmutableList<EntryStatus> statuses) {
        for (EntryStatus status : statuses) {
            if (!status.entry().equals(context.self().entry())) {
                updateMember(status);
            }
        }
        borrowers.values().forEach(borrower -> borrower.setEntryCount(entryCount()));
    }

    private void updateMember(EntryStatus status) {
        Member before = members.get(status.entry());
        boolean isDead = status.state() == EntryStatus.State.DEAD;
        if (before != null && status.incarnation() > before.incarnation()) {
            // The previous process has terminated, and its requests have ended with it.
            removeMember(status.entry());
            before = null;
        }
        if (before == null && isDead) {
            return;
        }
        long deadSinceNanos = isDead ? Math.min(before.deadSinceNanos(), context.nowNanos()) : Long.MAX_VALUE;
        members.put(status.entry(), new Member(status.incarnation(), deadSinceNanos));
    }

    /**
     * Removes entries that have been dead for the freshness limit. An entry that is reported as dead may only be
     * disconnected, and it stops accepting requests after the freshness limit.
     */
    private void removeDeadMembers() {
        long grace = catalogue.system().freshnessLimit().toNanos();
        long now = context.nowNanos();
        members.entrySet().stream()
                .filter(entry -> entry.getValue().deadSinceNanos() != Long.MAX_VALUE
                        && now - entry.getValue().deadSinceNanos() >= grace)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::removeMember);
    }

    private void removeMember(EntryId entry) {
        members.remove(entry);
        owned.values().forEach(shard -> removeMember(entry, shard));
        lost.values().forEach(before -> removeMember(entry, before.shard()));
    }

    private static void removeMember(EntryId entry, OwnedShard shard) {
        shard.seenEntries.remove(entry);
        shard.lenders.values().forEach(lender -> lender.removeBorrower(entry));
    }

    void setCatalogue(Catalogue newCatalogue) {
        catalogue = newCatalogue;
        borrowers.forEach((limit, borrower) -> borrower.setLimits(limits(limit)));
    }

    private void send(EntryId to, SharePeerMessage message) {
        if (to.equals(context.self().entry())) {
            context.raise(new PeerReceived(to, message));
        } else {
            context.send(to, message);
        }
    }
}
