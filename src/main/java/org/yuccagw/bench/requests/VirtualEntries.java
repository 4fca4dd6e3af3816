package org.yuccagw.bench.requests;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlCore.CallAnswered;
import org.yuccagw.core.control.ControlCore.Effect;
import org.yuccagw.core.control.ControlCore.Tick;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Lost;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.shard.ShardsSnapshot.Ownership;

/**
 * A few control cores in virtual time, with the parts under test alone; what other parts would tell them, such as
 * who is alive and who owns which shard, the script tells them.
 *
 * <p>One queue holds everything that will happen: messages, calls to the key-value service, timers, the script's own
 * steps. Faults are the script's: an entry can be killed or paused, a link cut, a call's answer lost or the call
 * itself held back so that it takes effect after its answer was given up. The same seed gives the same run.
 */
public final class VirtualEntries {
    private static final long MESSAGE_NANOS = Duration.ofMillis(2).toNanos();
    private static final long KEY_VALUE_NANOS = Duration.ofMillis(3).toNanos();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long START_WALL_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Step> queue = new PriorityQueue<>();
    private final Map<EntryId, Entry> entries = new HashMap<>();
    private final Set<Link> cutLinks = new HashSet<>();
    private final Map<ShardNumber, Ownership> owners = new HashMap<>();
    private final VirtualKeyValue keyValue = new VirtualKeyValue();
    private final SplittableRandom random;
    private final int shardCount;
    private final BiFunction<ShardAuthority, Supplier<ShardsSnapshot>, List<ControlComponent>> parts;
    private KeyValueFaults faults = KeyValueFaults.none();
    private long nowNanos;
    private long order;
    private long nextEpoch = 1;
    private long nextIncarnation = 1;

    private VirtualEntries(
            long seed,
            int shardCount,
            BiFunction<ShardAuthority, Supplier<ShardsSnapshot>, List<ControlComponent>> parts) {
        this.random = new SplittableRandom(seed);
        this.shardCount = shardCount;
        this.parts = parts;
    }

    /**
     * Makes a set without entries.
     *
     * @param parts makes the parts of one entry's core
     */
    public static VirtualEntries of(
            long seed,
            int shardCount,
            BiFunction<ShardAuthority, Supplier<ShardsSnapshot>, List<ControlComponent>> parts) {
        return new VirtualEntries(seed, shardCount, parts);
    }

    private record Step(long atNanos, long order, Runnable work) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private record Link(EntryId from, EntryId to) {}

    /** What happens to one call to the key-value service. */
    public enum CallFate {
        /** Taken and answered. */
        ANSWERED,
        /** Taken, but the answer never comes. */
        ANSWER_LOST,
        /** Never taken, and no answer comes. */
        CALL_LOST,
        /** Taken only long after the caller gave up. */
        TAKEN_LATE,
        /** The service is down: the connection fails at once. */
        DOWN
    }

    /** Decides the fate of each call. */
    public interface KeyValueFaults {
        CallFate fate(EntryId from, KeyValueCall call);

        static KeyValueFaults none() {
            return (from, call) -> CallFate.ANSWERED;
        }
    }

    /** One process of an entry. */
    private final class Entry {
        private final EntryIdentity identity;
        private final ControlCore core;
        private final ArrayDeque<Runnable> heldBack = new ArrayDeque<>();
        private final Map<ShardNumber, Long> epochs = new HashMap<>();
        private final Map<ShardNumber, Ownership> knownOwners = new HashMap<>(owners);
        private boolean dead;
        private boolean paused;

        private Entry(EntryIdentity identity) {
            this.identity = identity;
            List<ControlComponent> own = parts.apply(this::epoch, this::shards);
            this.core = ControlCore.of(identity, random.split(), own);
        }

        private OptionalLong epoch(ShardNumber shard, long now) {
            Long epoch = epochs.get(shard);
            return epoch == null ? OptionalLong.empty() : OptionalLong.of(epoch);
        }

        private ShardsSnapshot shards() {
            return new ShardsSnapshot(shardCount, ImmutableMap.copyOf(knownOwners));
        }

        private void take(ControlEvent event) {
            if (dead) {
                return;
            }
            if (paused) {
                heldBack.add(() -> take(event));
                return;
            }
            carryOut(core.handle(event, nowNanos, wallMillis()));
        }

        private void carryOut(List<Effect> effects) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    VirtualEntries.this.send(identity.entry(), send.to(), send.message());
                } else if (effect instanceof Effect.Call call) {
                    call(this, call);
                } else if (effect instanceof Effect.Reply reply) {
                    at(nowNanos, () -> answer(reply.answer()));
                }
            }
            long timer = core.nextTimerNanos();
            if (timer != Long.MAX_VALUE) {
                at(Math.max(timer, nowNanos), () -> tick(timer));
            }
        }

        /** Traffic threads of a process die and stand still with it. */
        private void answer(Runnable reply) {
            if (paused) {
                heldBack.add(reply);
            } else if (!dead) {
                reply.run();
            }
        }

        private void tick(long due) {
            if (!dead && !paused && core.nextTimerNanos() <= due) {
                take(new Tick());
            }
        }
    }

    // ---- The script's steps.

    public EntryId start(String name) {
        EntryId entry = EntryId.of(name);
        NetworkAddress nowhere = NetworkAddress.of("127.0.0.1", 1);
        EntryIdentity identity =
                new EntryIdentity(entry, nextIncarnation++, FailureDomain.of("ulemiste"), nowhere, nowhere, nowhere);
        Entry process = new Entry(identity);
        entries.put(entry, process);
        process.carryOut(process.core.start(nowNanos, wallMillis()));
        return entry;
    }

    /** The process ends at once; nothing tells the others. */
    public void kill(EntryId entry) {
        entries.get(entry).dead = true;
    }

    public boolean isUp(EntryId entry) {
        Entry process = entries.get(entry);
        return !process.dead && !process.paused;
    }

    public boolean isDead(EntryId entry) {
        return entries.get(entry).dead;
    }

    /** The process stands still; events wait for it. */
    public void pause(EntryId entry) {
        entries.get(entry).paused = true;
    }

    public void resume(EntryId entry) {
        Entry process = entries.get(entry);
        process.paused = false;
        for (Runnable work = process.heldBack.poll(); work != null; work = process.heldBack.poll()) {
            work.run();
        }
        process.take(new Tick());
    }

    public void cut(EntryId from, EntryId to) {
        cutLinks.add(new Link(from, to));
    }

    public void mend() {
        cutLinks.clear();
    }

    public void keyValueFaults(KeyValueFaults newFaults) {
        faults = newFaults;
    }

    /** Tells every living process who is alive. */
    public void tellMembers() {
        ImmutableList<EntryStatus> statuses = entries.values().stream()
                .sorted((left, right) -> left.identity.entry().compareTo(right.identity.entry()))
                .map(VirtualEntries::status)
                .collect(ImmutableList.toImmutableList());
        entries.values().forEach(process -> process.take(new MembersChanged(statuses)));
    }

    private static EntryStatus status(Entry process) {
        EntryIdentity identity = process.identity;
        return new EntryStatus(
                identity.entry(),
                identity.incarnation(),
                process.dead ? EntryStatus.State.DEAD : EntryStatus.State.ALIVE,
                identity.domain(),
                identity.callerAddress(),
                identity.peerAddress(),
                identity.adminAddress(),
                identity.relayAddress(),
                0,
                1);
    }

    /** Makes an entry the owner of a shard and tells all; the former owner still believes that it holds the lease. */
    public void own(ShardNumber shard, EntryId owner) {
        own(shard, owner, names());
    }

    /** The same, but only those told know the new owner. */
    public void own(ShardNumber shard, EntryId owner, List<EntryId> told) {
        Ownership ownership = new Ownership(owner, nextEpoch++);
        owners.put(shard, ownership);
        entries.get(owner).epochs.put(shard, ownership.epoch());
        told.forEach(entry -> entries.get(entry).knownOwners.put(shard, ownership));
        tell(owner, new ShardGained(shard, ownership.epoch()));
    }

    /** An entry that was not told learns who owns the shard. */
    public void learnOwner(ShardNumber shard, EntryId entry) {
        entries.get(entry).knownOwners.put(shard, owners.get(shard));
    }

    /** The lease lapses by the holder's own clock. */
    public void loseLease(ShardNumber shard, EntryId holder) {
        Long epoch = entries.get(holder).epochs.remove(shard);
        if (epoch != null) {
            tell(holder, new ShardLost(shard, epoch, ShardLost.Cause.LEASE_EXPIRED));
        }
    }

    public boolean holdsLease(ShardNumber shard, EntryId holder) {
        return entries.get(holder).epochs.containsKey(shard);
    }

    public void tell(EntryId entry, ControlEvent event) {
        entries.get(entry).take(event);
    }

    public void after(Duration wait, Runnable work) {
        at(nowNanos + wait.toNanos(), work);
    }

    /** Lets the time pass. */
    public void run(Duration time) {
        long end = nowNanos + time.toNanos();
        while (!queue.isEmpty() && queue.peek().atNanos() <= end) {
            Step step = queue.poll();
            nowNanos = Math.max(nowNanos, step.atNanos());
            step.work().run();
        }
        nowNanos = end;
    }

    // ---- What the script reads.

    public long nowNanos() {
        return nowNanos;
    }

    public VirtualKeyValue keyValue() {
        return keyValue;
    }

    public <T> T state(EntryId entry, Class<T> type) {
        return entries.get(entry).core.snapshot().find(type).orElseThrow();
    }

    public long incarnation(EntryId entry) {
        return entries.get(entry).identity.incarnation();
    }

    // ---- Effects.

    private long wallMillis() {
        return START_WALL_MILLIS + Duration.ofNanos(nowNanos).toMillis();
    }

    private void at(long nanos, Runnable work) {
        queue.add(new Step(nanos, order++, work));
    }

    private void send(EntryId from, EntryId to, PeerMessage message) {
        if (cutLinks.contains(new Link(from, to)) || !entries.containsKey(to)) {
            return;
        }
        long delay = MESSAGE_NANOS + random.nextLong(MESSAGE_NANOS);
        at(nowNanos + delay, () -> entries.get(to).take(new PeerReceived(from, message)));
    }

    private void call(Entry caller, Effect.Call effect) {
        CallFate fate = faults.fate(caller.identity.entry(), effect.call());
        long taken = nowNanos + KEY_VALUE_NANOS;
        long gaveUp = nowNanos + CALL_TIMEOUT.toNanos();
        switch (fate) {
            case ANSWERED ->
                at(taken, () -> {
                    KeyValueAnswer answer = keyValue.take(effect.call());
                    at(nowNanos + KEY_VALUE_NANOS, () -> caller.take(new CallAnswered(effect.number(), answer)));
                });
            case ANSWER_LOST -> {
                at(taken, () -> keyValue.take(effect.call()));
                lose(caller, effect, gaveUp);
            }
            case CALL_LOST -> lose(caller, effect, gaveUp);
            case TAKEN_LATE -> {
                lose(caller, effect, gaveUp);
                long late = gaveUp + random.nextLong(CALL_TIMEOUT.toNanos());
                at(late, () -> keyValue.take(effect.call()));
            }
            case DOWN -> lose(caller, effect, taken);
            default -> throw new IllegalStateException("no such fate: " + fate);
        }
    }

    private void lose(Entry caller, Effect.Call effect, long atNanos) {
        at(atNanos, () -> caller.take(new CallAnswered(effect.number(), new Lost("no answer"))));
    }

    public List<EntryId> names() {
        return new ArrayList<>(entries.keySet().stream().sorted().toList());
    }
}
