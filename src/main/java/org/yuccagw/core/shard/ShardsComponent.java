package org.yuccagw.core.shard;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
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
 * Ownership of shards.
 *
 * <p>Rendezvous hashing over the live entries says who shall own a shard; the key-value service says who does: a key
 * for each shard, created by compare-and-swap and bound to the lease of its owner. The revision of that creation is the
 * shard's epoch, the fencing number: revisions grow with every write of the service, so each owner's is higher than all
 * before it, though the key went away in between.
 *
 * <p>The cases of a shard that this entry shall own and doesn't:
 *
 * <ol>
 *   <li>The key is absent: create it. Written: owned, under the revision of the answer.
 *   <li>No answer to the creation: read. The key names this process: owned, under the revision read.
 *   <li>The key names another: its owner hands over once it hears of the same entries; else its lease lapses. Ask again
 *       after a while, or at once when it says that it released.
 * </ol>
 *
 * <p>A shard that this entry owns and shall not own is handed over: authority ends here first, then the key is deleted,
 * then the next owner is told. At rest the only calls are the renewals of those entries that own something.
 */
public final class ShardsComponent implements ControlComponent, ShardAuthority {
    static final LeaseTimes LEASE = new LeaseTimes(
            Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofMillis(2500), Duration.ofSeconds(2));

    private static final Duration TRY_AGAIN = Duration.ofSeconds(1);
    /** An entry that just started knows nobody and would take every shard. */
    private static final Duration SETTLING = Duration.ofSeconds(2);

    private static final Duration CALL_SILENCE = Duration.ofSeconds(6);
    private static final Duration ASSIGN_AFTER = Duration.ofMillis(100);
    private static final Duration TELL_INTERVAL = Duration.ofSeconds(2);

    private final TreeMap<ShardNumber, Long> owned = new TreeMap<>();
    private final TreeMap<ShardNumber, Long> toDelete = new TreeMap<>();
    private final Map<ShardNumber, Ownership> heard = new HashMap<>();
    private final Map<ShardNumber, Long> underWay = new HashMap<>();
    private final Map<ShardNumber, EntryId> shallOwn = new HashMap<>();
    private final Set<EntryId> everyone = new HashSet<>();
    private ControlContext context;
    private LeaseRenewer lease;
    private List<EntryId> candidates = List.of();
    private int count;
    private boolean assigning;
    private boolean settled;
    private boolean stopping;
    private ShardsSnapshot snapshot = new ShardsSnapshot(0, ImmutableMap.of());

    private ShardsComponent() {}

    public static ShardsComponent of() {
        return new ShardsComponent();
    }

    /** Time after which no order of an earlier owner can be given any more: its lease and the margin of clocks. */
    public static Duration longestEarlierAuthority() {
        return LEASE.timeToLive().plus(LEASE.clockMargin());
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        lease = LeaseRenewer.of(context, LEASE, this::review, this::loseAll);
        candidates = List.of(context.self().entry());
        context.after(SETTLING, () -> {
            settled = true;
            review();
        });
        context.after(TRY_AGAIN, this::reviewAgain);
        context.after(TELL_INTERVAL, this::tellSomeone);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof CatalogueChanged changed && count == 0) {
            count = changed.catalogue().system().shards();
            assign();
            review();
        } else if (event instanceof MembersChanged changed) {
            takeMembers(changed);
        } else if (event instanceof PeerReceived received) {
            receive(received);
        } else if (event instanceof StopRequested) {
            stopping = true;
            review();
        }
    }

    @Override
    public OptionalLong epochIfHeld(ShardNumber shard, long nowNanos) {
        Long epoch = owned.get(shard);
        return epoch != null && lease.isHeldAt(nowNanos) ? OptionalLong.of(epoch) : OptionalLong.empty();
    }

    /** Who owns which shard, as far as this entry knows; for other parts, on the control thread. */
    public ShardsSnapshot known() {
        return snapshot;
    }

    @Override
    public long authorityEndsNanos(long nowNanos) {
        return lease.isHeldAt(nowNanos) ? lease.heldUntilNanos() : nowNanos;
    }

    @Override
    public void contribute(ControlSnapshot.Builder builder) {
        builder.put(ShardsSnapshot.class, snapshot);
    }

    // ---- Who shall own what.

    private void takeMembers(MembersChanged changed) {
        candidates = changed.entries().stream()
                .filter(entry -> entry.state() == State.ALIVE || entry.state() == State.SUSPECT)
                .map(EntryStatus::entry)
                .toList();
        Set<EntryId> present = new HashSet<>();
        changed.entries().forEach(entry -> present.add(entry.entry()));
        for (EntryId entry : present) {
            if (!everyone.contains(entry)) {
                tell(entry);
            }
        }
        everyone.clear();
        everyone.addAll(present);
        heard.values().removeIf(ownership -> !present.contains(ownership.owner()));
        if (!assigning) {
            assigning = true;
            context.after(ASSIGN_AFTER, this::assignAgain);
        }
    }

    /** Changes of members come in bursts, as when a whole deployment starts: one assignment is made for all of them. */
    private void assignAgain() {
        assigning = false;
        assign();
        review();
    }

    private void reviewAgain() {
        context.after(TRY_AGAIN, this::reviewAgain);
        review();
    }

    private void review() {
        boolean wantsAny = false;
        for (int number = 0; number < count; number++) {
            ShardNumber shard = ShardNumber.of(number);
            if (isWanted(shard)) {
                wantsAny = true;
                acquire(shard);
            } else if (owned.containsKey(shard)) {
                handOver(shard);
            }
        }
        ImmutableMap.copyOf(toDelete).forEach(this::delete);
        if (wantsAny && settled) {
            lease.want();
        } else if (owned.isEmpty() && toDelete.isEmpty()) {
            lease.giveBack();
        }
        publish();
    }

    private boolean isWanted(ShardNumber shard) {
        return !stopping && shallOwn(shard).equals(Optional.of(context.self().entry()));
    }

    private Optional<EntryId> shallOwn(ShardNumber shard) {
        return Optional.ofNullable(shallOwn.get(shard));
    }

    private void assign() {
        shallOwn.clear();
        for (int number = 0; number < count; number++) {
            ShardNumber shard = ShardNumber.of(number);
            Rendezvous.first(OwnedShard.key(shard), candidates).ifPresent(entry -> shallOwn.put(shard, entry));
        }
    }

    // ---- Acquiring.

    private void acquire(ShardNumber shard) {
        if (!settled
                || owned.containsKey(shard)
                || toDelete.containsKey(shard)
                || lease.handle().isEmpty()
                || isUnderWay(shard)) {
            return;
        }
        underWay.put(shard, context.nowNanos());
        context.call(new KeyValueCall.Read(OwnedShard.key(shard)), answer -> {
            underWay.remove(shard);
            if (answer instanceof KeyValueAnswer.Found found) {
                onRead(shard, found);
            }
        });
    }

    private void onRead(ShardNumber shard, KeyValueAnswer.Found found) {
        if (owned.containsKey(shard) || lease.handle().isEmpty() || !isWanted(shard)) {
            return;
        }
        OwnedShard own = own();
        if (found.items().isEmpty()) {
            create(shard, own);
            return;
        }
        Item item = found.items().get(0);
        Optional<OwnedShard> owner = OwnedShard.decode(item.value());
        if (owner.equals(Optional.of(own))) {
            // A creation of ours whose answer was lost, or of an earlier lease of ours: the key would go with that
            // lease. It is made anew under the present one, which also gives it a fresh epoch.
            delete(shard, item.revision());
        } else {
            owner.ifPresent(other -> heard.put(shard, new Ownership(other.owner(), item.revision())));
        }
    }

    private void create(ShardNumber shard, OwnedShard own) {
        underWay.put(shard, context.nowNanos());
        Optional<LeaseHandle> boundTo = lease.handle();
        context.call(
                new KeyValueCall.CompareAndSwap(OwnedShard.key(shard), KeyValueCall.ABSENT, own.encode(), boundTo),
                answer -> {
                    underWay.remove(shard);
                    if (answer instanceof KeyValueAnswer.Written written) {
                        gain(shard, written.revision(), boundTo);
                    }
                });
    }

    /**
     * Guards against a late answer to a creation under a lease that was lost meanwhile: the key would go away with the
     * old lease while this entry still renews the new one, and two would own the shard.
     */
    private void gain(ShardNumber shard, long epoch, Optional<LeaseHandle> boundTo) {
        if (!isWanted(shard) || !lease.handle().equals(boundTo)) {
            toDelete.put(shard, epoch);
            review();
            return;
        }
        owned.put(shard, epoch);
        heard.remove(shard);
        publish();
        context.raise(new ShardGained(shard, epoch));
        ShardOwned message = new ShardOwned(shard, epoch);
        for (EntryId entry : everyone) {
            if (!entry.equals(context.self().entry())) {
                context.send(entry, message);
            }
        }
    }

    /** An answer that never comes must not keep a shard without owner for ever. */
    private boolean isUnderWay(ShardNumber shard) {
        Long since = underWay.get(shard);
        return since != null && context.nowNanos() - since < CALL_SILENCE.toNanos();
    }

    // ---- Losing and handing over.

    private void loseAll() {
        Map<ShardNumber, Long> lost = new TreeMap<>(owned);
        owned.clear();
        toDelete.clear();
        underWay.clear();
        publish();
        lost.forEach((shard, epoch) -> context.raise(new ShardLost(shard, epoch)));
    }

    private void handOver(ShardNumber shard) {
        long epoch = owned.remove(shard);
        toDelete.put(shard, epoch);
        context.raise(new ShardLost(shard, epoch));
    }

    private void delete(ShardNumber shard, long epoch) {
        if (isUnderWay(shard)) {
            return;
        }
        underWay.put(shard, context.nowNanos());
        context.call(new KeyValueCall.Delete(OwnedShard.key(shard), epoch), answer -> {
            underWay.remove(shard);
            if (answer instanceof KeyValueAnswer.Written || answer instanceof KeyValueAnswer.Conflict) {
                toDelete.remove(shard, epoch);
                shallOwn(shard)
                        .filter(next -> !next.equals(context.self().entry()))
                        .ifPresent(next -> context.send(next, new ShardReleased(shard, epoch)));
                review();
            }
        });
    }

    // ---- Other entries.

    private void receive(PeerReceived received) {
        if (received.message() instanceof ShardReleased released) {
            heard.remove(released.shard());
            review();
        } else if (received.message() instanceof ShardOwned said) {
            Ownership known = heard.get(said.shard());
            boolean newer = known == null || said.epoch() >= known.epoch();
            if (newer && !owned.containsKey(said.shard())) {
                heard.put(said.shard(), new Ownership(received.from(), said.epoch()));
                publish();
            }
        }
    }

    private void tellSomeone() {
        context.after(TELL_INTERVAL, this::tellSomeone);
        List<EntryId> others = new ArrayList<>(everyone);
        others.remove(context.self().entry());
        if (!others.isEmpty()) {
            others.sort(null);
            tell(others.get(context.random().nextInt(others.size())));
        }
    }

    private void tell(EntryId entry) {
        if (!entry.equals(context.self().entry())) {
            owned.forEach((shard, epoch) -> context.send(entry, new ShardOwned(shard, epoch)));
        }
    }

    /** Where no owner was heard of, the one that shall own the shard is the best guess; its epoch 0 says so. */
    private void publish() {
        ImmutableMap.Builder<ShardNumber, Ownership> owners = ImmutableMap.builder();
        for (int number = 0; number < count; number++) {
            ShardNumber shard = ShardNumber.of(number);
            Long epoch = owned.get(shard);
            if (epoch != null) {
                owners.put(shard, new Ownership(context.self().entry(), epoch));
            } else if (heard.containsKey(shard)) {
                owners.put(shard, heard.get(shard));
            } else {
                shallOwn(shard).ifPresent(entry -> owners.put(shard, new Ownership(entry, 0)));
            }
        }
        snapshot = new ShardsSnapshot(count, owners.buildOrThrow());
    }

    private OwnedShard own() {
        return new OwnedShard(context.self().entry(), context.self().incarnation());
    }
}
