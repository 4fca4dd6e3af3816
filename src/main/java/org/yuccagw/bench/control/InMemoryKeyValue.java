package org.yuccagw.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueCall.LeaseHandle;
import org.yuccagw.core.port.KeyValueRevision;
import org.yuccagw.core.port.KeyValueTimeouts;

/**
 * The key-value service in memory, with the ways in which it fails: down, slow, cut off from one entry, answers lost
 * after the write took effect, watches that fall silent, contents restored from an older copy.
 */
public final class InMemoryKeyValue {
    private static final KeyValueAnswer SILENT = new KeyValueAnswer.Lost("the call was silent");

    private final VirtualTime time;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final TreeMap<String, Long> removals = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Waiting> watches = new ArrayList<>();
    private final Set<EntryId> cutOff = new HashSet<>();
    private final Map<String, Long> callsByKind = new TreeMap<>();
    private Predicate<KeyValueCall> losesAnswer = call -> false;
    private Duration latency = Duration.ofMillis(4);
    private boolean down;
    private boolean watchesSilent;
    private long revision;
    private long nextLease = 1;
    private long era = 1;

    private InMemoryKeyValue(VirtualTime time) {
        this.time = time;
    }

    public static InMemoryKeyValue of(VirtualTime time) {
        return new InMemoryKeyValue(time);
    }

    record Stored(byte[] value, long revision, Optional<LeaseHandle> lease) {}

    record Lease(Duration timeToLive, long lapsesNanos) {}

    /** The contents of the service at one moment, from which it can be restored. */
    public record Copy(
            Map<String, Stored> keys,
            Map<String, Long> removals,
            Map<Long, Lease> leases,
            long revision,
            long nextLease) {}

    private static final class Waiting {
        private final KeyValueCall.Watch watch;
        private final Consumer<KeyValueAnswer> answer;
        private boolean over;

        private Waiting(KeyValueCall.Watch watch, Consumer<KeyValueAnswer> answer) {
            this.watch = watch;
            this.answer = answer;
        }
    }

    // ---- Faults.

    public void setDown(boolean isDown) {
        down = isDown;
    }

    public boolean isDown() {
        return down;
    }

    /** Time from a call to its answer; beyond the client's timeout the answer is lost, the effect is not. */
    public void setLatency(Duration both) {
        latency = both;
    }

    /** Watches don't answer any more, not even in error: their callers count them as lost after their timeout. */
    public void setWatchesSilent(boolean silent) {
        watchesSilent = silent;
    }

    /** Calls for which this holds take effect, but their answer never arrives. */
    public void loseAnswersOf(Predicate<KeyValueCall> calls) {
        losesAnswer = calls;
    }

    /** Copies the contents. */
    public Copy copy() {
        lapse();
        return new Copy(new HashMap<>(keys), new HashMap<>(removals), new HashMap<>(leases), revision, nextLease);
    }

    /**
     * Restores the contents from a copy: later writes are gone, and their revisions and lease numbers are granted
     * again. Waiting watches are cut, and leases run from now on.
     */
    public void restore(Copy copy) {
        era++;
        keys.clear();
        keys.putAll(copy.keys());
        removals.clear();
        removals.putAll(copy.removals());
        leases.clear();
        copy.leases()
                .forEach((number, lease) -> leases.put(
                        number,
                        new Lease(
                                lease.timeToLive(),
                                time.nowNanos() + lease.timeToLive().toNanos())));
        revision = copy.revision();
        nextLease = copy.nextLease();
        cutWatches();
    }

    private void cutWatches() {
        for (Waiting waiting : List.copyOf(watches)) {
            waiting.over = true;
            watches.remove(waiting);
            waiting.answer.accept(new KeyValueAnswer.Lost("the watch was cut"));
        }
    }

    public void cutOff(EntryId entry) {
        cutOff.add(entry);
    }

    public void reach(EntryId entry) {
        cutOff.remove(entry);
    }

    // ---- What tests look at.

    public long revision() {
        return revision;
    }

    /** Calls by kind, such as {@code Read}, since the start or the last {@link #forgetCalls}. */
    public Map<String, Long> callsByKind() {
        return callsByKind;
    }

    public long calls() {
        return callsByKind.values().stream().mapToLong(Long::longValue).sum();
    }

    public void forgetCalls() {
        callsByKind.clear();
    }

    /** The value of a key, for a test that looks behind the scenes. */
    public Optional<byte[]> peek(String key) {
        lapse();
        return Optional.ofNullable(keys.get(key)).map(Stored::value);
    }

    // ---- What operators and endpoints write.

    /** Writes a key, whatever it holds. */
    public void put(String key, byte[] value) {
        revision++;
        removals.remove(key);
        keys.put(key, new Stored(value, revision, Optional.empty()));
        wakeWatches();
    }

    /** Removes a key. */
    public void remove(String key) {
        if (keys.remove(key) != null) {
            revision++;
            removals.put(key, revision);
            wakeWatches();
        }
    }

    // ---- Calls.

    /** Takes a call of an entry; the answer comes in virtual time, at the latest when the client's timeout ends it. */
    public void submit(EntryId from, KeyValueCall call, Consumer<KeyValueAnswer> answer) {
        callsByKind.merge(call.getClass().getSimpleName(), 1L, Long::sum);
        if (cutOff.contains(from)) {
            time.after(KeyValueTimeouts.CONNECT, () -> answer.accept(new KeyValueAnswer.Refused("no connection")));
            return;
        }
        if (down) {
            time.after(Duration.ofMillis(1), () -> answer.accept(new KeyValueAnswer.Refused("connection refused")));
            return;
        }
        PendingCall pending = new PendingCall(answer);
        Duration half = latency.dividedBy(2);
        time.after(half, () -> arrive(call, late -> deliver(call, half, inEra(late), pending)));
        time.after(KeyValueTimeouts.silence(call), () -> pending.end(new KeyValueAnswer.Lost("silent")));
    }

    private void deliver(KeyValueCall call, Duration half, KeyValueAnswer answered, PendingCall pending) {
        if (!losesAnswer.test(call)) {
            time.after(half, () -> pending.end(answered));
        }
    }

    /** A call that the client ends with the first of the service's answer and its own timeout. */
    private static final class PendingCall {
        private final Consumer<KeyValueAnswer> receiver;
        private boolean over;

        private PendingCall(Consumer<KeyValueAnswer> receiver) {
            this.receiver = receiver;
        }

        private void end(KeyValueAnswer answer) {
            if (!over) {
                over = true;
                receiver.accept(answer);
            }
        }
    }

    private KeyValueAnswer inEra(KeyValueAnswer answered) {
        return answered instanceof KeyValueAnswer.Lost ? answered : new KeyValueAnswer.InEra(era, answered);
    }

    private long packed(long number) {
        return KeyValueRevision.of(era, number);
    }

    private void arrive(KeyValueCall call, Consumer<KeyValueAnswer> answer) {
        lapse();
        if (call instanceof KeyValueCall.Read read) {
            answer.accept(new KeyValueAnswer.Found(items(read.key(), true), packed(revision)));
        } else if (call instanceof KeyValueCall.ReadPrefix read) {
            answer.accept(new KeyValueAnswer.Found(items(read.prefix(), false), packed(revision)));
        } else if (call instanceof KeyValueCall.CompareAndSwap swap) {
            answer.accept(swap(swap));
        } else if (call instanceof KeyValueCall.Delete delete) {
            answer.accept(delete(delete));
        } else if (call instanceof KeyValueCall.Watch watch) {
            watch(watch, answer);
        } else {
            answer.accept(onLease(call));
        }
    }

    private KeyValueAnswer swap(KeyValueCall.CompareAndSwap swap) {
        long current = revisionOf(swap.key());
        if (current != KeyValueRevision.number(swap.expectedRevision())) {
            return new KeyValueAnswer.Conflict(packed(current));
        }
        if (swap.lease().isPresent() && !leases.containsKey(swap.lease().get().value())) {
            return new KeyValueAnswer.Refused("no such lease");
        }
        revision++;
        removals.remove(swap.key());
        keys.put(swap.key(), new Stored(swap.value(), revision, swap.lease()));
        wakeWatches();
        return new KeyValueAnswer.Written(packed(revision));
    }

    private KeyValueAnswer delete(KeyValueCall.Delete delete) {
        long current = revisionOf(delete.key());
        if (current == KeyValueCall.ABSENT || current != KeyValueRevision.number(delete.expectedRevision())) {
            return new KeyValueAnswer.Conflict(packed(current));
        }
        remove(delete.key());
        return new KeyValueAnswer.Written(packed(revision));
    }

    private KeyValueAnswer onLease(KeyValueCall call) {
        if (call instanceof KeyValueCall.GrantLease grant) {
            long number = nextLease++;
            leases.put(
                    number,
                    new Lease(
                            grant.timeToLive(),
                            time.nowNanos() + grant.timeToLive().toNanos()));
            return new KeyValueAnswer.LeaseGranted(new LeaseHandle(era, number));
        }
        if (call instanceof KeyValueCall.RenewLease renew) {
            Lease lease = leases.get(renew.lease().value());
            if (lease == null) {
                return new KeyValueAnswer.LeaseLapsed();
            }
            leases.put(
                    renew.lease().value(),
                    new Lease(
                            lease.timeToLive(),
                            time.nowNanos() + lease.timeToLive().toNanos()));
            return new KeyValueAnswer.LeaseRenewed();
        }
        KeyValueCall.RevokeLease revoke = (KeyValueCall.RevokeLease) call;
        leases.remove(revoke.lease().value());
        dropKeysOf(revoke.lease().value());
        return new KeyValueAnswer.LeaseRenewed();
    }

    private void watch(KeyValueCall.Watch watch, Consumer<KeyValueAnswer> answer) {
        Waiting waiting = new Waiting(watch, answer);
        if (watchesSilent) {
            time.after(KeyValueTimeouts.silence(watch), () -> answer.accept(SILENT));
            return;
        }
        if (KeyValueRevision.number(watch.afterRevision()) > revision) {
            answer.accept(new KeyValueAnswer.HistoryGone());
            return;
        }
        watches.add(waiting);
        time.after(watch.maxWait(), () -> {
            if (!waiting.over && !watchesSilent) {
                waiting.over = true;
                watches.remove(waiting);
                answer.accept(new KeyValueAnswer.Found(List.of(), packed(revision)));
            }
        });
        time.after(KeyValueTimeouts.silence(watch), () -> {
            if (!waiting.over) {
                waiting.over = true;
                watches.remove(waiting);
                answer.accept(SILENT);
            }
        });
        wakeWatches();
    }

    private void wakeWatches() {
        for (Waiting waiting : List.copyOf(watches)) {
            List<Item> newer = changes(waiting.watch);
            if (!newer.isEmpty() && !waiting.over && !watchesSilent && !down) {
                waiting.over = true;
                watches.remove(waiting);
                waiting.answer.accept(new KeyValueAnswer.Found(newer, packed(revision)));
            }
        }
    }

    private List<Item> changes(KeyValueCall.Watch watch) {
        List<Item> changes = new ArrayList<>();
        long after = KeyValueRevision.number(watch.afterRevision());
        for (Item item : items(watch.prefix(), false)) {
            if (KeyValueRevision.number(item.revision()) > after) {
                changes.add(item);
            }
        }
        removals.forEach((key, removedAt) -> {
            if (key.startsWith(watch.prefix()) && removedAt > after) {
                changes.add(new Item(key, new byte[0], packed(removedAt), true));
            }
        });
        return changes;
    }

    private List<Item> items(String keyOrPrefix, boolean whole) {
        List<Item> items = new ArrayList<>();
        keys.tailMap(keyOrPrefix, true).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(keyOrPrefix))
                .filter(entry -> !whole || entry.getKey().equals(keyOrPrefix))
                .forEach(entry -> items.add(Item.of(
                        entry.getKey(),
                        entry.getValue().value(),
                        packed(entry.getValue().revision()))));
        return items;
    }

    private long revisionOf(String key) {
        Stored stored = keys.get(key);
        return stored == null ? KeyValueCall.ABSENT : stored.revision();
    }

    private void lapse() {
        for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
            if (lease.getValue().lapsesNanos() <= time.nowNanos()) {
                leases.remove(lease.getKey());
                dropKeysOf(lease.getKey());
            }
        }
    }

    private void dropKeysOf(long lease) {
        List<String> dropped = keys.entrySet().stream()
                .filter(entry ->
                        entry.getValue().lease().map(LeaseHandle::value).equals(Optional.of(lease)))
                .map(Map.Entry::getKey)
                .toList();
        dropped.forEach(this::remove);
    }
}
