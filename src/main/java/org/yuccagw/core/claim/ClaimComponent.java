package org.yuccagw.core.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.claim.ClaimPeerMessage.Ask;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.StillRunning;
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
 * Claims of keyed requests, both sides: {@link ClaimClient} asks for this entry's traffic, a {@link ClaimShard}
 * for each owned shard decides.
 *
 * <p>Promise: for one key, at most one request is ever granted, over all entries, for as long as the record is kept;
 * and a request that is refused as not run is never granted afterwards.
 */
public final class ClaimComponent implements ControlComponent {
    private static final Duration MEMBERS_SETTLE = Duration.ofSeconds(10);

    private final ShardAuthority authority;
    private final Supplier<ShardsSnapshot> shards;
    private final ClaimLogCodec codec;
    private final ClaimGuards guards;
    private final Map<ShardNumber, ClaimShard> owned = new HashMap<>();
    private final Map<EntryId, EntryStatus> members = new HashMap<>();
    private SystemLimits limits = SystemLimits.defaults();
    private ControlContext context;
    private ClaimClient client;
    private long membersSinceNanos;

    private ClaimComponent(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec, ClaimGuards guards) {
        this.authority = authority;
        this.shards = shards;
        this.codec = codec;
        this.guards = guards;
    }

    /**
     * Makes the part.
     *
     * @param authority proves the lease right before an effect
     * @param shards who owns which shard, as far as this entry knows; asked on the control thread
     */
    public static ClaimComponent of(ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec) {
        return withGuards(authority, shards, codec, ClaimGuards.usual());
    }

    /** For tests and experiments that take a guard away; daemons use {@link #of}. */
    public static ClaimComponent withGuards(
            ShardAuthority authority, Supplier<ShardsSnapshot> shards, ClaimLogCodec codec, ClaimGuards guards) {
        return new ClaimComponent(authority, shards, codec, guards);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        client = new ClaimClient(context, new Owners());
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof ClaimRequested requested) {
            client.asked(requested);
        } else if (event instanceof ClaimEnded ended) {
            client.ended(ended);
        } else if (event instanceof PeerReceived received && received.message() instanceof ClaimPeerMessage message) {
            receive(message);
        } else if (event instanceof ShardGained gained) {
            gain(gained);
        } else if (event instanceof ShardLost lost) {
            lose(lost.shard());
        } else if (event instanceof MembersChanged changed) {
            learnMembers(changed);
        } else if (event instanceof CatalogueChanged changed) {
            limits = changed.catalogue().system();
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(ClaimsSnapshot.class, new ClaimsSnapshot(owned.size(), client.running(), client.endsToRecord()));
    }

    private void receive(ClaimPeerMessage message) {
        if (message instanceof Decided decided) {
            client.decided(decided);
        } else if (message instanceof EndRecorded recorded) {
            client.endRecorded(recorded);
        } else if (message instanceof StillRunning question) {
            client.stillRunning(question);
        } else if (owned.containsKey(message.shard())) {
            receiveAsOwner(message, owned.get(message.shard()));
        }
    }

    private static void receiveAsOwner(ClaimPeerMessage message, ClaimShard shard) {
        if (message instanceof Ask ask) {
            shard.ask(ask);
        } else if (message instanceof Ended ended) {
            shard.ended(ended);
        }
    }

    private void gain(ShardGained gained) {
        lose(gained.shard());
        ClaimShard shard = new ClaimShard(gained.shard(), gained.epoch(), new OwnSide(), context);
        owned.put(gained.shard(), shard);
        shard.start();
    }

    private void lose(ShardNumber number) {
        ClaimShard shard = owned.remove(number);
        if (shard != null) {
            shard.retire();
        }
    }

    private void learnMembers(MembersChanged changed) {
        if (members.isEmpty()) {
            membersSinceNanos = context.nowNanos();
        }
        members.clear();
        changed.entries().forEach(status -> members.put(status.entry(), status));
    }

    private void deliver(EntryId to, ClaimPeerMessage message) {
        if (to.equals(context.self().entry())) {
            context.raise(new PeerReceived(to, message));
        } else {
            context.send(to, message);
        }
    }

    /** What the asking side needs. */
    private final class Owners implements ClaimClient.Directory {
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
            deliver(to, message);
        }
    }

    /** What the owning side needs. */
    private final class OwnSide implements ClaimOwner {
        @Override
        public boolean holds(ShardNumber shard, long epoch) {
            OptionalLong held = authority.epochIfHeld(shard, context.nowNanos());
            return held.isPresent() && held.getAsLong() == epoch;
        }

        @Override
        public boolean mayBeAlive(ClaimAttempt attempt) {
            if (attempt.entry().equals(context.self().entry())) {
                return attempt.incarnation() == context.self().incarnation();
            }
            EntryStatus member = members.get(attempt.entry());
            if (member == null) {
                return members.isEmpty() || context.nowNanos() - membersSinceNanos < MEMBERS_SETTLE.toNanos();
            }
            boolean replaced = member.incarnation() > attempt.incarnation();
            return !replaced && member.state() != EntryStatus.State.DEAD;
        }

        @Override
        public void send(EntryId to, ClaimPeerMessage message) {
            deliver(to, message);
        }

        @Override
        public long oldestWallMillis() {
            return context.wallMillis() - limits.claimRetention().toMillis();
        }

        @Override
        public Duration commitGap(int writesPerSecond) {
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
