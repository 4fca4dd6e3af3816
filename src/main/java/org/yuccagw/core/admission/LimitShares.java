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
 * Shares of limits on one entry, both sides: a {@link ShareBorrower} for each limit that its traffic meets, a
 * {@link ShareLender} for each limit of the shards that it owns.
 */
final class LimitShares {
    private static final Duration CHECK = Duration.ofMillis(250);
    private static final long RENEW_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long ASK_SOON_NANOS = Duration.ofMillis(20).toNanos();
    private static final long OWNER_SILENT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int PRESENT_REPEATS = 3;

    private final ShardAuthority authority;
    private final Supplier<ShardsSnapshot> shards;
    private final Duration waitOut;
    private final Map<LimitName, ShareBorrower> borrowers = new HashMap<>();
    private final Map<ShardNumber, OwnedShard> owned = new HashMap<>();
    private final Map<ShardNumber, Introduced> introduced = new HashMap<>();
    private final Map<EntryId, Member> members = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private ControlContext context;
    private Runnable onChange = () -> {};

    LimitShares(ShardAuthority authority, Supplier<ShardsSnapshot> shards, Duration waitOut) {
        this.waitOut = waitOut;
        this.authority = authority;
        this.shards = shards;
    }

    /** The lenders of one owned shard. */
    private static final class OwnedShard {
        private final long epoch;
        private final long gainedNanos;
        private final Map<LimitName, ShareLender> lenders = new HashMap<>();
        private final Set<EntryId> heard = new HashSet<>();

        private OwnedShard(long epoch, long gainedNanos) {
            this.epoch = epoch;
            this.gainedNanos = gainedNanos;
        }
    }

    /** How often this entry told a shard's owner that it is there. */
    private record Introduced(Ownership owner, int times) {}

    /**
     * Another entry.
     *
     * @param goneNanos when it was first seen dead, or {@link Long#MAX_VALUE} while it lives
     */
    private record Member(long incarnation, long goneNanos) {}

    void start(ControlContext startContext, Runnable changeListener) {
        context = startContext;
        onChange = changeListener;
        context.after(CHECK, this::check);
    }

    // ---- Borrowing.

    private ShareBorrower borrower(LimitName limit) {
        return borrowers.computeIfAbsent(limit, name -> {
            ShareBorrower borrower = new ShareBorrower(limits(name), context.nowNanos());
            borrower.entries(entries());
            return borrower;
        });
    }

    private Limits limits(LimitName limit) {
        Optional<Limits> found = limit.isOfWorkspace()
                ? catalogue.workspace(WorkspaceId.of(limit.name())).map(Workspace::limits)
                : catalogue.service(ServiceName.of(limit.name())).map(Service::limits);
        return found.orElse(Limits.unlimited());
    }

    boolean admits(WorkspaceId workspace, ServiceName service) {
        long now = context.nowNanos();
        return borrower(LimitName.of(workspace)).admits(now)
                && borrower(LimitName.of(service)).admits(now);
    }

    /** Takes what the request needs of the shares, if they have it. */
    boolean admit(Waiting request) {
        boolean admits = admits(request.workspace(), request.service());
        if (admits) {
            take(request);
        }
        return admits;
    }

    void take(Waiting request) {
        borrower(LimitName.of(request.workspace())).admit(request.cost());
        borrower(LimitName.of(request.service())).admit(request.cost());
    }

    void release(Waiting request, long usedTokens) {
        borrower(LimitName.of(request.workspace())).release(request.cost(), usedTokens);
        borrower(LimitName.of(request.service())).release(request.cost(), usedTokens);
    }

    void waits(Waiting request, int change) {
        borrower(LimitName.of(request.workspace())).waits(change);
        borrower(LimitName.of(request.service())).waits(change);
    }

    double secondsUntilAdmits(Waiting request, ServiceGate gate) {
        return Math.max(
                secondsUntilAdmits(LimitName.of(request.workspace()), gate),
                secondsUntilAdmits(LimitName.of(request.service()), gate));
    }

    private double secondsUntilAdmits(LimitName limit, ServiceGate gate) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        if (!borrower.isLimited()) {
            return 0;
        }
        if (!borrower.hasShare(now)) {
            return isOutOfReach(limit) ? Double.POSITIVE_INFINITY : 0;
        }
        return borrower.secondsUntilAdmits(gate.holdingSeconds(), gate.meanCost(), now);
    }

    /** Whether waiting is in vain: no share, and an owner that should answer within a round trip does not. */
    boolean isOutOfReach(WorkspaceId workspace, ServiceName service) {
        return isOutOfReach(LimitName.of(workspace)) || isOutOfReach(LimitName.of(service));
    }

    private boolean isOutOfReach(LimitName limit) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        boolean starved = borrower.isLimited() && !borrower.hasShare(now);
        boolean silent = borrower.unansweredNanos(now) >= OWNER_SILENT_NANOS;
        return starved && (silent || ownerOf(limit).isEmpty());
    }

    /** The limit that a request met, for the answer to its caller. */
    String describe(Waiting request) {
        Limits limits = limits(LimitName.of(request.workspace()));
        return limits.concurrentRequests() + " requests at once, " + limits.requestsPerSecond() + " requests/s, "
                + limits.tokensPerSecond() + " tokens/s";
    }

    /** Asks for a larger share, but not more often than the answers to the last asks can have come. */
    void askSoon(WorkspaceId workspace, ServiceName service) {
        askSoon(LimitName.of(workspace));
        askSoon(LimitName.of(service));
    }

    private void askSoon(LimitName limit) {
        ShareBorrower borrower = borrower(limit);
        long now = context.nowNanos();
        boolean starved = borrower.isLimited() && !borrower.admits(now);
        if (starved && borrower.sinceLastAskNanos(now) >= ASK_SOON_NANOS) {
            ask(limit, borrower);
        }
    }

    private void ask(LimitName limit, ShareBorrower borrower) {
        Optional<EntryId> owner = ownerOf(limit);
        if (owner.isEmpty()) {
            return;
        }
        long now = context.nowNanos();
        Share held = borrower.held(now);
        borrower.asked(now);
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
        ShardsSnapshot present = shards.get();
        return present.count() == 0
                ? Optional.empty()
                : present.owner(limit.shard(present.count())).map(Ownership::owner);
    }

    private void check() {
        long now = context.nowNanos();
        borrowers.forEach((limit, borrower) -> {
            boolean due = borrower.sinceLastAskNanos(now) >= RENEW_NANOS;
            if (due && borrower.isLimited() && borrower.isBusy()) {
                ask(limit, borrower);
            }
        });
        introduce();
        forgetTheDead();
        context.after(CHECK, this::check);
    }

    /** Tells each new owner that this entry is there, so that the owner keeps nothing back for it. */
    private void introduce() {
        shards.get().owners().forEach((shard, owner) -> {
            Introduced before = introduced.get(shard);
            int times = before != null && before.owner().equals(owner) ? before.times() : 0;
            if (times < PRESENT_REPEATS) {
                introduced.put(shard, new Introduced(owner, times + 1));
                send(owner.owner(), new Present(shard));
            }
        });
    }

    // ---- Lending.

    void gained(ShardGained gained) {
        owned.put(gained.shard(), new OwnedShard(gained.epoch(), context.nowNanos()));
    }

    void lost(ShardNumber shard) {
        owned.remove(shard);
    }

    void receive(EntryId from, SharePeerMessage message) {
        if (message instanceof Grant grant) {
            take(grant);
            return;
        }
        OwnedShard shard = owned.get(message.shard());
        if (shard == null) {
            return;
        }
        shard.heard.add(from);
        if (message instanceof Ask ask) {
            lend(from, ask, shard);
        }
    }

    private void take(Grant grant) {
        ShareBorrower borrower = borrowers.get(grant.limit());
        if (borrower != null && borrower.take(grant, context.nowNanos())) {
            onChange.run();
        }
    }

    private void lend(EntryId from, Ask ask, OwnedShard shard) {
        long now = context.nowNanos();
        OptionalLong epoch = authority.epochIfHeld(ask.shard(), now);
        if (epoch.isEmpty() || epoch.getAsLong() != shard.epoch) {
            return;
        }
        ShareLender lender =
                shard.lenders.computeIfAbsent(ask.limit(), name -> new ShareLender(shard.gainedNanos, waitOut));
        boolean named = ask.epoch() == shard.epoch;
        ShareLender.Lent lent = lender.lend(from, ask, named, limits(ask.limit()), silent(shard), entries(), now);
        send(from, new Grant(ask.shard(), shard.epoch, ask.limit(), lent.share(), lent.sequence(), ShareLender.LIFE));
    }

    /** Entries that may use shares of an owner before this one, and have not spoken since. */
    private int silent(OwnedShard shard) {
        return (int) members.keySet().stream()
                .filter(member -> !shard.heard.contains(member))
                .count();
    }

    private int entries() {
        return Math.max(1, members.size() + 1);
    }

    // ---- Members.

    void members(ImmutableList<EntryStatus> statuses) {
        for (EntryStatus status : statuses) {
            if (!status.entry().equals(context.self().entry())) {
                learn(status);
            }
        }
        borrowers.values().forEach(borrower -> borrower.entries(entries()));
    }

    private void learn(EntryStatus status) {
        Member before = members.get(status.entry());
        boolean dead = status.state() == EntryStatus.State.DEAD;
        if (before != null && status.incarnation() > before.incarnation()) {
            // The former process is gone for sure, and its requests with it.
            forget(status.entry());
            before = null;
        }
        if (before == null && dead) {
            return;
        }
        long gone = dead ? Math.min(before.goneNanos(), context.nowNanos()) : Long.MAX_VALUE;
        members.put(status.entry(), new Member(status.incarnation(), gone));
    }

    /** An entry that was declared dead may only be cut off; it stops taking work after the freshness limit. */
    private void forgetTheDead() {
        long grace = catalogue.system().freshnessLimit().toNanos();
        long now = context.nowNanos();
        members.entrySet().stream()
                .filter(entry -> entry.getValue().goneNanos() != Long.MAX_VALUE
                        && now - entry.getValue().goneNanos() >= grace)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::forget);
    }

    private void forget(EntryId entry) {
        members.remove(entry);
        owned.values().forEach(shard -> {
            shard.heard.remove(entry);
            shard.lenders.values().forEach(lender -> lender.forget(entry));
        });
    }

    void catalogue(Catalogue newCatalogue) {
        catalogue = newCatalogue;
        borrowers.forEach((limit, borrower) -> borrower.limits(limits(limit)));
    }

    private void send(EntryId to, SharePeerMessage message) {
        if (to.equals(context.self().entry())) {
            context.raise(new PeerReceived(to, message));
        } else {
            context.send(to, message);
        }
    }
}
