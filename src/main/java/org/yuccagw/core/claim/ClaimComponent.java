package org.yuccagw.core.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.StatusQuery;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;

/**
 * Claims of requests with an idempotency key. {@link ClaimClient} requests claims for the traffic of this entry, and a
 * {@link ClaimShard} for each owned shard decides on them. A {@link FormerClaimShard} tells what is known of a shard
 * whose lease expired.
 *
 * <p>Guarantees: for one key, at most one request is granted over all entries while the record is retained; and a
 * request that was refused as not run is never granted afterwards.
 */
public final class ClaimComponent implements ControlComponent {
    private static final Duration MEMBERSHIP_SETTLING_TIME = Duration.ofSeconds(10);

    private final ShardAuthority authority;
    private final Supplier<ShardsSnapshot> shards;
    private final ClaimLogCodec codec;
    private final ClaimGuards guards;
    private final Map<ShardNumber, ClaimShard> ownedShards = new HashMap<>();
    private final Map<ShardNumber, FormerClaimShard> formerShards = new HashMap<>();
    private final Map<EntryId, EntryStatus> members = new HashMap<>();
    private SystemLimits limits = SystemLimits.defaults();
    private ControlContext context;
    private ClaimClient client;
    private long firstMembersNanos;

    private ClaimComponent(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec, ClaimGuards guards) {
        this.authority = authority;
        this.shards = shards;
        this.codec = codec;
        this.guards = guards;
    }

    /**
     * Creates the component.
     *
     * @param authority checks the lease immediately before an effect
     * @param shards supplies the owners of the shards in the local view; called on the control thread
     */
    public static ClaimComponent of(ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec) {
        return withGuards(authority, shards, codec, ClaimGuards.defaults());
    }

    /** Creates the component for tests and experiments that disable a guard; daemons use {@link #of}. */
    public static ClaimComponent withGuards(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec, ClaimGuards guards) {
        return new ClaimComponent(authority, shards, codec, guards);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        client = new ClaimClient(context, new SnapshotOwnerResolver());
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof ClaimRequested requested) {
            client.onClaimRequested(requested);
        } else if (event instanceof ClaimLookupRequested requested) {
            client.onLookupRequested(requested);
        } else if (event instanceof ClaimEnded ended) {
            client.onClaimEnded(ended);
        } else if (event instanceof PeerReceived received && received.message() instanceof ClaimPeerMessage message) {
            receive(message);
        } else if (event instanceof ShardGained gained) {
            startShard(gained);
        } else if (event instanceof ShardLost lost) {
            loseShard(lost);
        } else if (event instanceof MembersChanged changed) {
            updateMembers(changed);
        } else if (event instanceof CatalogueChanged changed) {
            limits = changed.catalogue().system();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(
                ClaimsSnapshot.class,
                new ClaimsSnapshot(ownedShards.size(), client.runningCount(), client.unrecordedEndCount()));
    }

    private void receive(ClaimPeerMessage message) {
        if (message instanceof Decided decided) {
            client.onDecided(decided);
        } else if (message instanceof EndRecorded recorded) {
            client.onEndRecorded(recorded);
        } else if (message instanceof StatusQuery query) {
            client.onStatusQuery(query);
        } else if (ownedShards.containsKey(message.shard())) {
            ownedShards.get(message.shard()).handle(message);
        } else if (formerShards.containsKey(message.shard())) {
            receiveAsFormerOwner(message);
        }
    }

    private void receiveAsFormerOwner(ClaimPeerMessage message) {
        FormerClaimShard former = formerShards.get(message.shard());
        if (hasOwnerAfter(message.shard(), former.epoch())) {
            formerShards.remove(message.shard());
        } else {
            former.handle(message);
        }
    }

    private boolean hasOwnerAfter(ShardNumber shard, long epoch) {
        return shards.get().owner(shard).filter(owner -> owner.epoch() > epoch).isPresent();
    }

    private void startShard(ShardGained gained) {
        retireShard(gained.shard());
        formerShards.remove(gained.shard());
        ClaimShard shard = new ClaimShard(gained.shard(), gained.epoch(), new ShardHost(), context);
        ownedShards.put(gained.shard(), shard);
        shard.start();
    }

    private void loseShard(ShardLost lost) {
        if (lost.cause() == ShardLost.Cause.LEASE_EXPIRED && ownedShards.containsKey(lost.shard())) {
            FormerOwnership ownership = FormerOwnership.at(context.nowNanos(), lost.epoch(), members);
            ownedShards
                    .get(lost.shard())
                    .toFormer(ownership)
                    .ifPresent(former -> formerShards.put(lost.shard(), former));
        }
        retireShard(lost.shard());
    }

    private void retireShard(ShardNumber number) {
        ClaimShard shard = ownedShards.remove(number);
        if (shard != null) {
            shard.retire();
        }
    }

    private void updateMembers(MembersChanged changed) {
        if (members.isEmpty()) {
            firstMembersNanos = context.nowNanos();
        }
        members.clear();
        changed.entries().forEach(status -> members.put(status.entry(), status));
    }

    private void sendMessage(EntryId to, ClaimPeerMessage message) {
        if (to.equals(context.self().entry())) {
            context.raise(new PeerReceived(to, message));
        } else {
            context.send(to, message);
        }
    }

    /** Resolves owners for the client side. */
    private final class SnapshotOwnerResolver implements ClaimClient.OwnerResolver {
        @Override
        public Optional<ShardNumber> shardOf(ClaimKey key) {
            int count = shards.get().count();
            return count == 0 ? Optional.empty() : Optional.of(key.shard(count));
        }

        @Override
        public Optional<EntryId> ownerOf(ShardNumber shard) {
            return shards.get().owner(shard).map(Ownership::owner);
        }

        @Override
        public void send(EntryId to, ClaimPeerMessage message) {
            sendMessage(to, message);
        }
    }

    /** Provides services to the owner side. */
    private final class ShardHost implements ClaimShardHost {
        @Override
        public boolean holdsLease(ShardNumber shard, long epoch) {
            OptionalLong held = authority.epochIfHeld(shard, context.nowNanos());
            return held.isPresent() && held.getAsLong() == epoch;
        }

        @Override
        public boolean excludesOtherOwnerSince(ShardNumber shard, FormerOwnership ownership) {
            return !hasOwnerAfter(shard, ownership.epoch())
                    && ownership.wouldKnowOfNextOwner(members, context.nowNanos());
        }

        @Override
        public boolean mayBeRunning(ClaimAttempt attempt) {
            if (attempt.entry().equals(context.self().entry())) {
                return attempt.incarnation() == context.self().incarnation();
            }
            EntryStatus member = members.get(attempt.entry());
            if (member == null) {
                return members.isEmpty() || context.nowNanos() - firstMembersNanos < MEMBERSHIP_SETTLING_TIME.toNanos();
            }
            boolean restarted = member.incarnation() > attempt.incarnation();
            return !restarted && member.state() != EntryStatus.State.DEAD;
        }

        @Override
        public void send(EntryId to, ClaimPeerMessage message) {
            sendMessage(to, message);
        }

        @Override
        public long oldestRetainedWallMillis() {
            return context.wallMillis() - limits.claimRetention().toMillis();
        }

        @Override
        public Duration minCommitInterval(int writesPerSecond) {
            return Duration.ofSeconds(1)
                    .multipliedBy(Math.max(1, shards.get().count()))
                    .dividedBy(writesPerSecond);
        }

        @Override
        public ClaimLogCodec codec() {
            return codec;
        }

        @Override
        public ClaimGuards guards() {
            return guards;
        }
    }
}
