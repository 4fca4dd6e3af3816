package org.yuccagw.core.shard;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.KeyValueRestored;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.lease.LeaseRenewer;
import org.yuccagw.core.lease.LeaseTimes;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.membership.Rendezvous;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;

/**
 * Acquires, holds and hands over the ownership of shards.
 *
 * <p>Rendezvous hashing over the live entries assigns each shard to an entry; the key-value service records which entry
 * owns it: a key for each shard, created by compare-and-swap and bound to the lease of its owner. The revision of that
 * creation is the epoch of the shard, its fencing number. Revisions increase with every write to the service, so each
 * epoch is higher than all earlier ones, although the key was removed in between.
 *
 * <p>The cases of a shard that is assigned to this entry and not owned by it:
 *
 * <ol>
 *   <li>The key is absent: create it. If it was written, the shard is owned, with the revision of the answer as epoch.
 *   <li>The creation got no answer: read the key. If it names this process, delete it and create it again under the
 *       present lease.
 *   <li>The key names another process: its owner hands the shard over once it has the same local view of the members,
 *       or its lease expires. Read again periodically, or immediately when the owner announces that it has released
 *       the shard.
 * </ol>
 *
 * <p>A shard that this entry owns and that is assigned to another one is handed over in this order: the authority ends
 * on this entry, the key is deleted, the assigned owner is notified. In the steady state the only calls to the service
 * are the lease renewals of the entries that own a shard.
 */
public final class ShardsComponent implements ControlComponent, ShardAuthority {
    static final LeaseTimes LEASE_TIMES = new LeaseTimes(
            Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofMillis(2500), Duration.ofSeconds(2));

    private static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(1);
    /** A newly started entry knows no other entries, and without the delay would acquire every shard. */
    private static final Duration STARTUP_DELAY = Duration.ofSeconds(2);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration ASSIGNMENT_DELAY = Duration.ofMillis(100);
    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(2);

    private final TreeMap<ShardNumber, Long> ownedEpochs = new TreeMap<>();
    private final TreeMap<ShardNumber, Long> pendingDeletes = new TreeMap<>();
    private final Map<ShardNumber, Ownership> reportedOwners = new HashMap<>();
    private final Map<ShardNumber, Long> pendingCallNanos = new HashMap<>();
    private final Map<ShardNumber, EntryId> assignedOwners = new HashMap<>();
    private final Map<EntryId, Long> knownEntries = new HashMap<>();
    private ControlContext context;
    private LeaseRenewer lease;
    private List<EntryId> candidates = List.of();
    private int shardCount;
    private long era;
    private long acquisitionAllowedFromNanos;
    private boolean assignmentScheduled;
    private boolean startupDelayPassed;
    private boolean stopping;
    private ShardsSnapshot snapshot = new ShardsSnapshot(0, ImmutableMap.of());

    private ShardsComponent() {}

    public static ShardsComponent of() {
        return new ShardsComponent();
    }

    /**
     * Returns the longest time for which a previous owner of a shard may still send orders: the time to live of its
     * lease and the margin for clocks.
     */
    public static Duration maxPreviousOwnerAuthority() {
        return LEASE_TIMES.timeToLive().plus(LEASE_TIMES.clockMargin());
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        acquisitionAllowedFromNanos = context.nowNanos();
        lease = LeaseRenewer.of(context, LEASE_TIMES, this::reconcile, this::handleLeaseLost);
        candidates = List.of(context.self().entry());
        context.after(STARTUP_DELAY, () -> {
            startupDelayPassed = true;
            reconcile();
        });
        context.after(RECONCILE_INTERVAL, this::reconcilePeriodically);
        context.after(ANNOUNCEMENT_INTERVAL, this::announceToRandomEntry);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof CatalogueChanged changed && shardCount == 0) {
            shardCount = changed.catalogue().system().shards();
            assign();
            reconcile();
        } else if (event instanceof MembersChanged changed) {
            updateMembers(changed);
        } else if (event instanceof PeerReceived received) {
            receive(received);
        } else if (event instanceof StopRequested) {
            stopping = true;
            reconcile();
        } else if (event instanceof KeyValueRestored restored) {
            onRestored(restored.era());
        }
    }

    /**
     * Gives up the shards that were acquired in an earlier era, and waits until other owners' leases of that era have
     * expired: a restored service may lack their keys.
     */
    private void onRestored(long restoredEra) {
        if (restoredEra <= era) {
            return;
        }
        era = restoredEra;
        acquisitionAllowedFromNanos =
                context.nowNanos() + LEASE_TIMES.timeToLive().toNanos();
        lease.dropBeforeEra(era);
    }

    @Override
    public OptionalLong epochIfHeld(ShardNumber shard, long nowNanos) {
        Long epoch = ownedEpochs.get(shard);
        return epoch != null && lease.isHeldAt(nowNanos) ? OptionalLong.of(epoch) : OptionalLong.empty();
    }

    /** Returns the owners of the shards in this entry's local view. Called by components on the control thread. */
    public ShardsSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public long authorityEndsNanos(long nowNanos) {
        return lease.isHeldAt(nowNanos) ? lease.expiryNanos() : nowNanos;
    }

    @Override
    public void contribute(ControlSnapshot.Builder builder) {
        builder.put(ShardsSnapshot.class, snapshot);
    }

    // ---- Assignment.

    private void updateMembers(MembersChanged changed) {
        candidates = changed.entries().stream()
                .filter(entry -> entry.state() == State.ALIVE || entry.state() == State.SUSPECT)
                .map(EntryStatus::entry)
                .toList();
        Map<EntryId, Long> present = new HashMap<>();
        changed.entries().forEach(entry -> present.put(entry.entry(), entry.incarnation()));
        present.forEach((entry, incarnation) -> {
            boolean sameProcess = incarnation.equals(knownEntries.get(entry));
            if (!sameProcess) {
                announceTo(entry);
            }
        });
        knownEntries.clear();
        knownEntries.putAll(present);
        reportedOwners.values().removeIf(ownership -> !present.containsKey(ownership.owner()));
        if (!assignmentScheduled) {
            assignmentScheduled = true;
            context.after(ASSIGNMENT_DELAY, this::runScheduledAssignment);
        }
    }

    /** Membership changes arrive in bursts, as when a whole deployment starts: one assignment is made for a burst. */
    private void runScheduledAssignment() {
        assignmentScheduled = false;
        assign();
        reconcile();
    }

    private void reconcilePeriodically() {
        context.after(RECONCILE_INTERVAL, this::reconcilePeriodically);
        reconcile();
    }

    /** Acquires the assigned shards, hands over the others, and acquires or releases the lease accordingly. */
    private void reconcile() {
        boolean leaseRequired = false;
        for (int number = 0; number < shardCount; number++) {
            ShardNumber shard = ShardNumber.of(number);
            if (isAssignedHere(shard)) {
                leaseRequired = true;
                acquire(shard);
            } else if (ownedEpochs.containsKey(shard)) {
                handOver(shard);
            }
        }
        ImmutableMap.copyOf(pendingDeletes).forEach(this::delete);
        if (leaseRequired && startupDelayPassed) {
            lease.acquire();
        } else if (ownedEpochs.isEmpty() && pendingDeletes.isEmpty()) {
            lease.release();
        }
        updateSnapshot();
    }

    private boolean isAssignedHere(ShardNumber shard) {
        return !stopping
                && assignedOwner(shard).equals(Optional.of(context.self().entry()));
    }

    private Optional<EntryId> assignedOwner(ShardNumber shard) {
        return Optional.ofNullable(assignedOwners.get(shard));
    }

    private void assign() {
        assignedOwners.clear();
        for (int number = 0; number < shardCount; number++) {
            ShardNumber shard = ShardNumber.of(number);
            Rendezvous.first(ShardOwner.key(shard), candidates).ifPresent(entry -> assignedOwners.put(shard, entry));
        }
    }

    // ---- Acquisition.

    private void acquire(ShardNumber shard) {
        if (!startupDelayPassed
                || context.nowNanos() - acquisitionAllowedFromNanos < 0
                || ownedEpochs.containsKey(shard)
                || pendingDeletes.containsKey(shard)
                || lease.handle().isEmpty()
                || isCallPending(shard)) {
            return;
        }
        pendingCallNanos.put(shard, context.nowNanos());
        context.call(new KeyValueCall.Read(ShardOwner.key(shard)), answer -> {
            pendingCallNanos.remove(shard);
            if (answer instanceof KeyValueAnswer.Found found) {
                handleRead(shard, found);
            }
        });
    }

    private void handleRead(ShardNumber shard, KeyValueAnswer.Found found) {
        if (ownedEpochs.containsKey(shard) || lease.handle().isEmpty() || !isAssignedHere(shard)) {
            return;
        }
        ShardOwner localOwner = localOwner();
        if (found.items().isEmpty()) {
            create(shard, localOwner);
            return;
        }
        Item item = found.items().get(0);
        Optional<ShardOwner> owner = ShardOwner.decode(item.value());
        if (owner.equals(Optional.of(localOwner))) {
            // The key was written by this process: the answer to its creation was lost, or it is bound to an earlier
            // lease and would be removed with that lease. It is created again under the present lease, which also gives
            // it a new epoch.
            delete(shard, item.revision());
        } else {
            owner.ifPresent(other -> reportedOwners.put(shard, new Ownership(other.owner(), item.revision())));
        }
    }

    private void create(ShardNumber shard, ShardOwner localOwner) {
        pendingCallNanos.put(shard, context.nowNanos());
        Optional<LeaseHandle> boundTo = lease.handle();
        context.call(
                new KeyValueCall.CompareAndSwap(
                        ShardOwner.key(shard), KeyValueCall.ABSENT, localOwner.encode(), boundTo),
                answer -> {
                    pendingCallNanos.remove(shard);
                    if (answer instanceof KeyValueAnswer.Written written) {
                        handleCreated(shard, written.revision(), boundTo);
                    }
                });
    }

    /**
     * Records the ownership of a shard whose key was created.
     *
     * <p>Guards against a late answer to a creation under a lease that has been lost since: the key would be removed
     * with the old lease while this entry still renews the new one, and two entries would own the shard.
     */
    private void handleCreated(ShardNumber shard, long epoch, Optional<LeaseHandle> boundTo) {
        if (!isAssignedHere(shard) || !lease.handle().equals(boundTo)) {
            pendingDeletes.put(shard, epoch);
            reconcile();
            return;
        }
        ownedEpochs.put(shard, epoch);
        reportedOwners.remove(shard);
        updateSnapshot();
        context.raise(new ShardGained(shard, epoch));
        ShardOwned message = new ShardOwned(shard, epoch);
        for (EntryId entry : knownEntries.keySet()) {
            if (!entry.equals(context.self().entry())) {
                context.send(entry, message);
            }
        }
    }

    /** Whether a call for the shard is in progress. A call without an answer must not block the shard for ever. */
    private boolean isCallPending(ShardNumber shard) {
        Long since = pendingCallNanos.get(shard);
        return since != null && context.nowNanos() - since < CALL_TIMEOUT.toNanos();
    }

    // ---- Loss and handover.

    private void handleLeaseLost() {
        Map<ShardNumber, Long> lost = new TreeMap<>(ownedEpochs);
        ownedEpochs.clear();
        pendingDeletes.clear();
        pendingCallNanos.clear();
        updateSnapshot();
        lost.forEach((shard, epoch) -> context.raise(new ShardLost(shard, epoch, ShardLost.Cause.LEASE_EXPIRED)));
    }

    private void handOver(ShardNumber shard) {
        long epoch = ownedEpochs.remove(shard);
        pendingDeletes.put(shard, epoch);
        context.raise(new ShardLost(shard, epoch, ShardLost.Cause.HANDED_OVER));
    }

    private void delete(ShardNumber shard, long epoch) {
        if (isCallPending(shard)) {
            return;
        }
        pendingCallNanos.put(shard, context.nowNanos());
        context.call(new KeyValueCall.Delete(ShardOwner.key(shard), epoch), answer -> {
            pendingCallNanos.remove(shard);
            if (answer instanceof KeyValueAnswer.Written || answer instanceof KeyValueAnswer.Conflict) {
                pendingDeletes.remove(shard, epoch);
                assignedOwner(shard)
                        .filter(next -> !next.equals(context.self().entry()))
                        .ifPresent(next -> context.send(next, new ShardReleased(shard, epoch)));
                reconcile();
            }
        });
    }

    // ---- Messages between entries.

    private void receive(PeerReceived received) {
        if (received.message() instanceof ShardReleased released) {
            reportedOwners.remove(released.shard());
            reconcile();
        } else if (received.message() instanceof ShardOwned announced) {
            Ownership known = reportedOwners.get(announced.shard());
            boolean newer = known == null || announced.epoch() >= known.epoch();
            if (newer && !ownedEpochs.containsKey(announced.shard())) {
                reportedOwners.put(announced.shard(), new Ownership(received.from(), announced.epoch()));
                updateSnapshot();
            }
        }
    }

    private void announceToRandomEntry() {
        context.after(ANNOUNCEMENT_INTERVAL, this::announceToRandomEntry);
        List<EntryId> others = new ArrayList<>(knownEntries.keySet());
        others.remove(context.self().entry());
        if (!others.isEmpty()) {
            others.sort(null);
            announceTo(others.get(context.random().nextInt(others.size())));
        }
    }

    private void announceTo(EntryId entry) {
        if (!entry.equals(context.self().entry())) {
            ownedEpochs.forEach((shard, epoch) -> context.send(entry, new ShardOwned(shard, epoch)));
        }
    }

    /** Rebuilds the local view. A shard without a reported owner is listed with its assigned owner and epoch 0. */
    private void updateSnapshot() {
        ImmutableMap.Builder<ShardNumber, Ownership> owners = ImmutableMap.builder();
        for (int number = 0; number < shardCount; number++) {
            ShardNumber shard = ShardNumber.of(number);
            Long epoch = ownedEpochs.get(shard);
            if (epoch != null) {
                owners.put(shard, new Ownership(context.self().entry(), epoch));
            } else if (reportedOwners.containsKey(shard)) {
                owners.put(shard, reportedOwners.get(shard));
            } else {
                assignedOwner(shard).ifPresent(entry -> owners.put(shard, new Ownership(entry, 0)));
            }
        }
        snapshot = new ShardsSnapshot(shardCount, owners.buildOrThrow());
    }

    private ShardOwner localOwner() {
        return new ShardOwner(context.self().entry(), context.self().incarnation());
    }
}
