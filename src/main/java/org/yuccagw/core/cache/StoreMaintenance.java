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
 * Maintains the stores: reads their usage, moves the least valuable blocks from memory to disk, evicts the least
 * valuable blocks from disk, and deletes the unsealed blocks of failed writers.
 *
 * <p>Each store is maintained by one entry, chosen by rendezvous hashing among the entries that are alive. Entries with
 * different membership views may maintain the same store at the same time. This is harmless, because deletions name a
 * generation and both deletions and moves are idempotent.
 *
 * <p>The victim of an eviction is the run with the lowest value in a random sample, the deepest one among runs of equal
 * value. A run is requested whenever a run that continues it is requested, so it is worth at least as much, and the
 * ends of prompts are evicted before their beginnings.
 */
final class StoreMaintenance {
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int INTERVALS_BETWEEN_COLLECTIONS = 30;
    private static final int INTERVALS_BETWEEN_OTHER_STATUS_READS = 5;
    private static final double MEMORY_HIGH_WATERMARK = 0.90;
    private static final double MEMORY_LOW_WATERMARK = 0.85;
    private static final double DISK_HIGH_WATERMARK = 0.95;
    private static final double DISK_LOW_WATERMARK = 0.92;
    private static final int PAGE_BLOCKS = 256;
    private static final int SAMPLE_SIZE = 32;
    private static final int MAX_SAMPLE_ATTEMPTS = 512;
    private static final double THRESHOLD_SMOOTHING = 0.3;

    private final CacheState state;
    private final Map<StoreId, Long> incarnations = new HashMap<>();
    private final Map<StoreId, UntrackedBytes> pageReads = new HashMap<>();
    private List<EntryId> aliveEntries = List.of();
    private long intervalCount;

    private StoreMaintenance(CacheState state) {
        this.state = state;
    }

    /** Bytes to free in a tier by deleting blocks that the prompt tree doesn't contain. */
    private record UntrackedBytes(StoreTier tier, long bytes) {}

    static StoreMaintenance of(CacheState state) {
        return new StoreMaintenance(state);
    }

    void start(ControlContext context) {
        context.after(INTERVAL, () -> {
            runMaintenance(context);
            start(context);
        });
    }

    void updateMembers(MembersChanged members) {
        aliveEntries = members.entries().stream()
                .filter(entry -> entry.state() == EntryStatus.State.ALIVE)
                .map(EntryStatus::entry)
                .toList();
    }

    /** Handles a store in the list of the platform. A new incarnation of its VM holds none of the earlier blocks. */
    void storeListed(StoreTable.Store store, long incarnation) {
        Long previous = incarnations.put(store.id(), incarnation);
        if (previous != null && previous != incarnation) {
            state.prompts().removeStoreCopies(store.id());
        }
    }

    void handle(StoreUpdate update, StoreTable.Store store, ControlContext context) {
        if (update instanceof StoreUpdate.StatusRead status) {
            store.setUsage(status.memory(), status.disk());
            store.setReportedRate(status.linkBytesPerMilli());
            freeCapacity(store, context);
        } else if (update instanceof StoreUpdate.UnsealedRead unsealed) {
            deleteOrphans(unsealed, store, context);
        } else if (update instanceof StoreUpdate.PageRead page) {
            deleteUntracked(page, store, context);
        }
    }

    /** Moves and evicts blocks if a tier exceeds its high watermark, or if the store reported that it is full. */
    void freeCapacity(StoreTable.Store store, ControlContext context) {
        if (!isMaintainer(store.id(), context)) {
            return;
        }
        StoreUpdate.Usage memory = store.usage(StoreTier.MEMORY);
        StoreUpdate.Usage disk = store.usage(StoreTier.DISK);
        if (disk.bytesOver(DISK_HIGH_WATERMARK) > 0) {
            evict(store, StoreTier.DISK, disk.bytesOver(DISK_LOW_WATERMARK), context);
        } else if (disk.usedShare() < DISK_LOW_WATERMARK) {
            store.setAdmissionThreshold(0);
        }
        if (memory.bytesOver(MEMORY_HIGH_WATERMARK) > 0 || store.isFull()) {
            long bytesToFree = Math.max(memory.bytesOver(MEMORY_LOW_WATERMARK), 1);
            if (disk.capacityBytes() > 0) {
                demoteToDisk(store, bytesToFree, context);
            } else {
                evict(store, StoreTier.MEMORY, bytesToFree, context);
            }
        }
    }

    private void runMaintenance(ControlContext context) {
        intervalCount++;
        if (intervalCount % INTERVALS_BETWEEN_COLLECTIONS == 0) {
            // A page whose answer was lost must not block further reads of pages.
            pageReads.clear();
        }
        for (StoreTable.Store store : state.stores().all()) {
            CacheCommand.StoreAddress address = new CacheCommand.StoreAddress(store.id(), store.address());
            boolean isMaintainer = isMaintainer(store.id(), context);
            if (isMaintainer || intervalCount % INTERVALS_BETWEEN_OTHER_STATUS_READS == 0) {
                context.perform(new CacheCommand.ReadStoreStatus(address));
            }
            if (isMaintainer && intervalCount % INTERVALS_BETWEEN_COLLECTIONS == 0) {
                context.perform(new CacheCommand.ReadUnsealed(address));
            }
        }
    }

    /**
     * Deletes the unsealed blocks of failed writers. After twice the longest duration of an export, no writer can still
     * seal a block.
     */
    private void deleteOrphans(StoreUpdate.UnsealedRead unsealed, StoreTable.Store store, ControlContext context) {
        long minAgeMillis = 2 * state.settings().exportDeadline().toMillis();
        List<CacheCommand.Generation> orphans = unsealed.blocks().stream()
                .filter(block -> block.ageMillis() > minAgeMillis)
                .map(block -> new CacheCommand.Generation(block.key(), block.generation()))
                .toList();
        if (!orphans.isEmpty()) {
            context.perform(
                    new CacheCommand.DeleteBlocks(new CacheCommand.StoreAddress(store.id(), store.address()), orphans));
        }
    }

    private void evict(StoreTable.Store store, StoreTier tier, long bytes, ControlContext context) {
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        List<CacheCommand.Generation> deleted = new ArrayList<>();
        long remainingBytes = bytes;
        while (remainingBytes > 0) {
            PromptNode victim = chooseVictim(store, tier, context);
            if (victim == null) {
                readUntrackedPage(store, tier, remainingBytes, context);
                break;
            }
            PromptNode.Copy copy = victim.copyIn(store.id()).orElseThrow();
            victim.storedBlocks(copy, 0, copy.blockCount())
                    .forEach(block -> deleted.add(new CacheCommand.Generation(block.key(), block.generation())));
            remainingBytes -= copy.bytes();
            store.addUsed(tier, -copy.bytes());
            double gittinsIndex = state.gittinsIndex(victim, nowSeconds);
            store.setAdmissionThreshold(
                    store.admissionThreshold() + THRESHOLD_SMOOTHING * (gittinsIndex - store.admissionThreshold()));
            victim.removeCopy(store.id());
        }
        if (!deleted.isEmpty()) {
            context.perform(
                    new CacheCommand.DeleteBlocks(new CacheCommand.StoreAddress(store.id(), store.address()), deleted));
        }
    }

    /**
     * Reads a page of the store's blocks from a random key on, whose blocks of the tier are then deleted. Called if the
     * store exceeds a watermark but no run with a copy in it was found, so that it holds blocks that no entry has a
     * record of, for example after all entries were replaced. The blocks of a prompt that returns meanwhile are found
     * by a lookup and recorded again.
     */
    private void readUntrackedPage(StoreTable.Store store, StoreTier tier, long bytes, ControlContext context) {
        if (pageReads.putIfAbsent(store.id(), new UntrackedBytes(tier, bytes)) == null) {
            BlockKey afterKey =
                    BlockKey.of(context.random().nextLong(), context.random().nextLong());
            context.perform(new CacheCommand.ReadStorePage(
                    new CacheCommand.StoreAddress(store.id(), store.address()), afterKey.toString(), PAGE_BLOCKS));
        }
    }

    private void deleteUntracked(StoreUpdate.PageRead page, StoreTable.Store store, ControlContext context) {
        UntrackedBytes untracked = pageReads.remove(store.id());
        if (untracked == null) {
            return;
        }
        List<CacheCommand.Generation> deleted = new ArrayList<>();
        long remainingBytes = untracked.bytes();
        for (StoreUpdate.Found found : page.blocks()) {
            if (remainingBytes > 0 && found.tier() == untracked.tier()) {
                deleted.add(new CacheCommand.Generation(
                        found.block().key(), found.block().generation()));
                remainingBytes -= found.block().length();
            }
        }
        store.addUsed(untracked.tier(), remainingBytes - untracked.bytes());
        if (!deleted.isEmpty()) {
            context.perform(
                    new CacheCommand.DeleteBlocks(new CacheCommand.StoreAddress(store.id(), store.address()), deleted));
        }
    }

    private void demoteToDisk(StoreTable.Store store, long bytes, ControlContext context) {
        List<StoredBlock> moved = new ArrayList<>();
        long remainingBytes = bytes;
        while (remainingBytes > 0) {
            PromptNode victim = chooseVictim(store, StoreTier.MEMORY, context);
            if (victim == null) {
                break;
            }
            PromptNode.Copy copy = victim.copyIn(store.id()).orElseThrow();
            moved.addAll(victim.storedBlocks(copy, 0, copy.blockCount()));
            copy.setTier(StoreTier.DISK);
            remainingBytes -= copy.bytes();
            store.addUsed(StoreTier.MEMORY, -copy.bytes());
            store.addUsed(StoreTier.DISK, copy.bytes());
        }
        if (!moved.isEmpty()) {
            context.perform(new CacheCommand.MoveBlocks(
                    new CacheCommand.StoreAddress(store.id(), store.address()), StoreTier.DISK, moved));
        }
    }

    /** Returns the least valuable run of a sample of those with a copy in the tier, null if the sample is empty. */
    private PromptNode chooseVictim(StoreTable.Store store, StoreTier tier, ControlContext context) {
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        PromptNode lowest = null;
        double lowestValue = Double.MAX_VALUE;
        int sampleCount = 0;
        for (int attempts = 0; attempts < MAX_SAMPLE_ATTEMPTS && sampleCount < SAMPLE_SIZE; attempts++) {
            PromptNode node = state.prompts().randomNode(context.random());
            if (node == null) {
                return null;
            }
            if (!hasCopyIn(node, store, tier)) {
                continue;
            }
            sampleCount++;
            double value = value(node, nowSeconds);
            boolean isDeeper = lowest != null && value == lowestValue && node.startDepth() > lowest.startDepth();
            if (value < lowestValue || isDeeper) {
                lowest = node;
                lowestValue = value;
            }
        }
        return lowest;
    }

    private double value(PromptNode node, double nowSeconds) {
        if (state.settings().eviction() == CacheSettings.EvictionPolicy.LEAST_RECENTLY_USED) {
            return node.lastUseSeconds();
        }
        return state.gittinsIndex(node, nowSeconds);
    }

    private static boolean hasCopyIn(PromptNode node, StoreTable.Store store, StoreTier tier) {
        for (PromptNode.Copy copy : node.copies()) {
            if (copy.store().equals(store.id())) {
                return copy.tier() == tier;
            }
        }
        return false;
    }

    private boolean isMaintainer(StoreId store, ControlContext context) {
        EntryId self = context.self().entry();
        long ownWeight = maintainerWeight(self, store);
        for (EntryId entry : aliveEntries) {
            if (!entry.equals(self) && maintainerWeight(entry, store) > ownWeight) {
                return false;
            }
        }
        return true;
    }

    private static long maintainerWeight(EntryId entry, StoreId store) {
        return Rendezvous.weight(entry.value(), BlockKey.of(0, Rendezvous.nameHash(store.value())));
    }
}
