package org.yuccagw.core.cache;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Keeps the stores in order: reads how full they are, moves the least valuable blocks from memory to disk and evicts
 * them from there, and collects what dead writers left behind.
 *
 * <p>For each store one entry does this, the one with the highest hash among the live ones. Two at once, while they
 * disagree on who lives, do no harm: a deletion names a generation and is idempotent, a move is too.
 *
 * <p>The victim is the least valuable of a sample of runs, the deepest first among equals. A run is asked for whenever
 * one that continues it is, so it is worth at least as much: the ends of prompts go before their beginnings.
 */
final class StoreMaintenance {
    private static final Duration STEP = Duration.ofSeconds(1);
    private static final int STEPS_BETWEEN_COLLECTIONS = 30;
    private static final int STEPS_BETWEEN_OTHERS = 5;
    private static final double MEMORY_HIGH = 0.90;
    private static final double MEMORY_LOW = 0.85;
    private static final double DISK_HIGH = 0.95;
    private static final double DISK_LOW = 0.92;
    private static final int PAGE = 256;
    private static final int SAMPLE = 32;
    private static final int MOST_TRIES = 512;
    private static final double FLOOR_LEARNING = 0.3;

    private final CacheState state;
    private final Map<StoreId, Long> incarnations = new HashMap<>();
    private final Map<StoreId, Strays> strays = new HashMap<>();
    private List<EntryId> live = List.of();
    private long steps;

    private StoreMaintenance(CacheState state) {
        this.state = state;
    }

    /** Bytes to free in a tier of blocks that aren't known here. */
    private record Strays(StoreTier tier, long bytes) {}

    static StoreMaintenance of(CacheState state) {
        return new StoreMaintenance(state);
    }

    void start(ControlContext context) {
        context.after(STEP, () -> {
            step(context);
            start(context);
        });
    }

    void takeMembers(MembersChanged members) {
        live = members.entries().stream()
                .filter(entry -> entry.state() == EntryStatus.State.ALIVE)
                .map(EntryStatus::entry)
                .toList();
    }

    /** The platform lists the store; a new incarnation of its VM has nothing of the old one. */
    void listed(StoreTable.Store store, long incarnation) {
        Long before = incarnations.put(store.id(), incarnation);
        if (before != null && before != incarnation) {
            state.prompts().dropStore(store.id());
        }
    }

    void handle(StoreUpdate update, StoreTable.Store store, ControlContext context) {
        if (update instanceof StoreUpdate.StatusRead status) {
            store.setUsage(status.memory(), status.disk());
            store.statedRate(status.linkBytesPerMilli());
            makeRoom(store, context);
        } else if (update instanceof StoreUpdate.UnsealedRead unsealed) {
            collect(unsealed, store, context);
        } else if (update instanceof StoreUpdate.PageRead page) {
            sweepStrays(page, store, context);
        }
    }

    /** Moves and evicts if a tier is over its mark. */
    void makeRoom(StoreTable.Store store, ControlContext context) {
        if (!keeps(store.id(), context)) {
            return;
        }
        StoreUpdate.Usage memory = store.usage(StoreTier.MEMORY);
        StoreUpdate.Usage disk = store.usage(StoreTier.DISK);
        if (disk.over(DISK_HIGH) > 0) {
            evict(store, StoreTier.DISK, disk.over(DISK_LOW), context);
        } else if (disk.share() < DISK_LOW) {
            store.setFloorIndex(0);
        }
        if (memory.over(MEMORY_HIGH) > 0 || store.isFull()) {
            long wanted = Math.max(memory.over(MEMORY_LOW), 1);
            if (disk.capacity() > 0) {
                demote(store, wanted, context);
            } else {
                evict(store, StoreTier.MEMORY, wanted, context);
            }
        }
    }

    private void step(ControlContext context) {
        steps++;
        if (steps % STEPS_BETWEEN_COLLECTIONS == 0) {
            // A page that was asked for and never came must not keep the next one from being asked for.
            strays.clear();
        }
        for (StoreTable.Store store : state.stores().all()) {
            CacheOrder.StoreAddress address = new CacheOrder.StoreAddress(store.id(), store.address());
            boolean keeps = keeps(store.id(), context);
            if (keeps || steps % STEPS_BETWEEN_OTHERS == 0) {
                context.perform(new CacheOrder.ReadStoreStatus(address));
            }
            if (keeps && steps % STEPS_BETWEEN_COLLECTIONS == 0) {
                context.perform(new CacheOrder.ReadUnsealed(address));
            }
        }
    }

    /** A writer that died leaves blocks that it never seals. Twice the longest export later none can still come. */
    private void collect(StoreUpdate.UnsealedRead unsealed, StoreTable.Store store, ControlContext context) {
        long old = 2 * state.settings().exportDeadline().toMillis();
        List<CacheOrder.Generation> orphans = unsealed.blocks().stream()
                .filter(block -> block.ageMillis() > old)
                .map(block -> new CacheOrder.Generation(block.key(), block.generation()))
                .toList();
        if (!orphans.isEmpty()) {
            context.perform(
                    new CacheOrder.DeleteBlocks(new CacheOrder.StoreAddress(store.id(), store.address()), orphans));
        }
    }

    private void evict(StoreTable.Store store, StoreTier tier, long bytes, ControlContext context) {
        double nowSeconds = CacheState.seconds(context.nowNanos());
        List<CacheOrder.Generation> freed = new ArrayList<>();
        long left = bytes;
        while (left > 0) {
            PromptNode victim = victim(store, tier, context);
            if (victim == null) {
                askForStrays(store, tier, left, context);
                break;
            }
            PromptNode.Copy copy = victim.copyIn(store.id()).orElseThrow();
            victim.stored(copy, 0, copy.blocks())
                    .forEach(block -> freed.add(new CacheOrder.Generation(block.key(), block.generation())));
            left -= copy.bytes();
            store.addUsed(tier, -copy.bytes());
            double index = state.index(victim, nowSeconds);
            store.setFloorIndex(store.floorIndex() + FLOOR_LEARNING * (index - store.floorIndex()));
            victim.removeCopy(store.id());
        }
        if (!freed.isEmpty()) {
            context.perform(
                    new CacheOrder.DeleteBlocks(new CacheOrder.StoreAddress(store.id(), store.address()), freed));
        }
    }

    /**
     * The store is over its mark and no known run is there: it holds blocks that no entry knows of, such as after all
     * entries were replaced. A page from a random place is read, and what it names of the tier goes; one that returns
     * meanwhile was looked up and is known again.
     */
    private void askForStrays(StoreTable.Store store, StoreTier tier, long bytes, ControlContext context) {
        if (strays.putIfAbsent(store.id(), new Strays(tier, bytes)) == null) {
            BlockKey place =
                    BlockKey.of(context.random().nextLong(), context.random().nextLong());
            context.perform(new CacheOrder.ReadStorePage(
                    new CacheOrder.StoreAddress(store.id(), store.address()), place.toString(), PAGE));
        }
    }

    private void sweepStrays(StoreUpdate.PageRead page, StoreTable.Store store, ControlContext context) {
        Strays wanted = strays.remove(store.id());
        if (wanted == null) {
            return;
        }
        List<CacheOrder.Generation> freed = new ArrayList<>();
        long left = wanted.bytes();
        for (StoreUpdate.Found found : page.blocks()) {
            if (left > 0 && found.tier() == wanted.tier()) {
                freed.add(new CacheOrder.Generation(
                        found.block().key(), found.block().generation()));
                left -= found.block().length();
            }
        }
        store.addUsed(wanted.tier(), left - wanted.bytes());
        if (!freed.isEmpty()) {
            context.perform(
                    new CacheOrder.DeleteBlocks(new CacheOrder.StoreAddress(store.id(), store.address()), freed));
        }
    }

    private void demote(StoreTable.Store store, long bytes, ControlContext context) {
        List<StoredBlock> moved = new ArrayList<>();
        long left = bytes;
        while (left > 0) {
            PromptNode victim = victim(store, StoreTier.MEMORY, context);
            if (victim == null) {
                break;
            }
            PromptNode.Copy copy = victim.copyIn(store.id()).orElseThrow();
            moved.addAll(victim.stored(copy, 0, copy.blocks()));
            copy.moveTo(StoreTier.DISK);
            left -= copy.bytes();
            store.addUsed(StoreTier.MEMORY, -copy.bytes());
            store.addUsed(StoreTier.DISK, copy.bytes());
        }
        if (!moved.isEmpty()) {
            context.perform(new CacheOrder.MoveBlocks(
                    new CacheOrder.StoreAddress(store.id(), store.address()), StoreTier.DISK, moved));
        }
    }

    /** The least valuable of a sample of the runs with a copy there, null if none was met. */
    private PromptNode victim(StoreTable.Store store, StoreTier tier, ControlContext context) {
        double nowSeconds = CacheState.seconds(context.nowNanos());
        PromptNode least = null;
        double leastValue = Double.MAX_VALUE;
        int sampled = 0;
        for (int tried = 0; tried < MOST_TRIES && sampled < SAMPLE; tried++) {
            PromptNode node = state.prompts().sample(context.random());
            if (node == null) {
                return null;
            }
            if (!isIn(node, store, tier)) {
                continue;
            }
            sampled++;
            double value = value(node, nowSeconds);
            boolean deeper = least != null && value == leastValue && node.startDepth() > least.startDepth();
            if (value < leastValue || deeper) {
                least = node;
                leastValue = value;
            }
        }
        return least;
    }

    private double value(PromptNode node, double nowSeconds) {
        if (state.settings().eviction() == CacheSettings.EvictionPolicy.LEAST_RECENTLY_USED) {
            return node.lastUseSeconds();
        }
        return state.index(node, nowSeconds);
    }

    private static boolean isIn(PromptNode node, StoreTable.Store store, StoreTier tier) {
        for (PromptNode.Copy copy : node.copies()) {
            if (copy.store().equals(store.id())) {
                return copy.tier() == tier;
            }
        }
        return false;
    }

    private boolean keeps(StoreId store, ControlContext context) {
        EntryId self = context.self().entry();
        long own = keeperWeight(self, store);
        for (EntryId entry : live) {
            if (!entry.equals(self) && keeperWeight(entry, store) > own) {
                return false;
            }
        }
        return true;
    }

    private static long keeperWeight(EntryId entry, StoreId store) {
        return Rendezvous.weight(entry.value(), BlockKey.of(0, Rendezvous.nameHash(store.value())));
    }
}
