package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.id.EndpointId;

/**
 * The imports in progress. A second request for the same preamble joins the import of the first one, so that the same
 * bytes aren't transferred twice.
 */
public final class ImportsInProgress {
    private final List<Import> imports = new ArrayList<>();

    ImportsInProgress() {}

    /** One import in progress. */
    public static final class Import {
        private final EndpointId endpoint;
        private final StoreTable.Store store;
        private final StoreTier tier;
        private final long bytes;
        private final long queuedBytes;
        private final long expectedEndNanos;
        private final ImmutableList<StoredBlock> blocks;
        private final Set<BlockKey> keys;

        private Import(
                EndpointId endpoint,
                StoreTable.Store store,
                StoreTier tier,
                List<StoredBlock> blocks,
                long expectedEndNanos) {
            this.endpoint = endpoint;
            this.store = store;
            this.tier = tier;
            this.bytes = blocks.stream().mapToLong(StoredBlock::length).sum();
            this.queuedBytes = store.queuedBytes();
            this.expectedEndNanos = expectedEndNanos;
            this.blocks = ImmutableList.copyOf(blocks);
            this.keys = new HashSet<>();
            blocks.forEach(block -> keys.add(block.key()));
        }

        public EndpointId endpoint() {
            return endpoint;
        }

        public StoreTable.Store store() {
            return store;
        }

        public ImmutableList<StoredBlock> blocks() {
            return blocks;
        }

        /** Returns the predicted milliseconds until the import ends, 0 once the predicted end has passed. */
        public double remainingMillis(long nowNanos) {
            return Math.max(0, (expectedEndNanos - nowNanos) / 1e6);
        }

        /** Returns whether the block is part of the import. */
        public boolean includes(BlockKey key) {
            return keys.contains(key);
        }
    }

    /** Adds an import. Its bytes count as queued on the store's link until {@link #end} or {@link #complete}. */
    public Import begin(
            EndpointId endpoint, StoreTable.Store store, StoreTier tier, List<StoredBlock> blocks, long nowNanos) {
        long bytes = blocks.stream().mapToLong(StoredBlock::length).sum();
        long expectedEndNanos = nowNanos + (long) (store.fetchMillis(tier, bytes) * 1e6);
        Import started = new Import(endpoint, store, tier, blocks, expectedEndNanos);
        store.beginFetch(started.bytes);
        imports.add(started);
        return started;
    }

    /** Removes an import that ended, with any outcome. Calls for an import that was removed have no effect. */
    public void end(Import ended) {
        if (imports.remove(ended)) {
            ended.store.endFetch(ended.bytes);
        }
    }

    /**
     * Removes an import that transferred all its blocks, and updates the estimated rate of the link from its duration.
     */
    public void complete(Import ended, double millis) {
        if (imports.contains(ended)) {
            ended.store.updateRate(ended.tier, ended.queuedBytes, ended.bytes, millis);
        }
        end(ended);
    }

    /** Returns an import to the endpoint that includes the block. */
    public Optional<Import> find(EndpointId endpoint, BlockKey block) {
        for (Import inProgress : imports) {
            if (inProgress.endpoint.equals(endpoint) && inProgress.includes(block)) {
                return Optional.of(inProgress);
            }
        }
        return Optional.empty();
    }

    /** Returns all imports that include the block. */
    public List<Import> findAll(BlockKey block) {
        return imports.stream().filter(inProgress -> inProgress.includes(block)).toList();
    }
}
