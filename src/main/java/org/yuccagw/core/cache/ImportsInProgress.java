package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.id.EndpointId;

/**
 * Imports that are on their way to engines, so that a second request for the same preamble waits for the first one's
 * fetch and doesn't put the same bytes on the link again.
 */
public final class ImportsInProgress {
    private final List<Import> imports = new ArrayList<>();

    ImportsInProgress() {}

    /** One import on its way. */
    public static final class Import {
        private final EndpointId endpoint;
        private final StoreTable.Store store;
        private final StoreTier tier;
        private final long bytes;
        private final long bytesAhead;
        private final long expectedEndNanos;
        private final ImmutableList<StoredBlock> blocks;
        private final Set<BlockKey> keys;

        private Import(
                EndpointId endpoint,
                StoreTable.Store store,
                StoreTier tier,
                List<StoredBlock> stored,
                long expectedEndNanos) {
            this.endpoint = endpoint;
            this.store = store;
            this.tier = tier;
            this.bytes = stored.stream().mapToLong(StoredBlock::length).sum();
            this.bytesAhead = store.bytesAhead();
            this.expectedEndNanos = expectedEndNanos;
            this.blocks = ImmutableList.copyOf(stored);
            this.keys = new HashSet<>();
            stored.forEach(block -> keys.add(block.key()));
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

        /** Milliseconds until it should be done, 0 once it is late. */
        public double leftMillis(long nowNanos) {
            return Math.max(0, (expectedEndNanos - nowNanos) / 1e6);
        }

        public boolean brings(BlockKey key) {
            return keys.contains(key);
        }
    }

    /** An import begins; its bytes count as waiting on the store's link until {@link #end}. */
    public Import begin(
            EndpointId endpoint, StoreTable.Store store, StoreTier tier, List<StoredBlock> stored, long nowNanos) {
        long bytes = stored.stream().mapToLong(StoredBlock::length).sum();
        long expectedEnd = nowNanos + (long) (store.fetchMillis(tier, bytes) * 1e6);
        Import begun = new Import(endpoint, store, tier, stored, expectedEnd);
        store.beginFetch(begun.bytes);
        imports.add(begun);
        return begun;
    }

    /** It ended, however; a second end of the same one does nothing. */
    public void end(Import ended) {
        if (imports.remove(ended)) {
            ended.store.endFetch(ended.bytes);
        }
    }

    /** It ended with all its blocks after this time, which tells of the link's speed. */
    public void endWhole(Import ended, double millis) {
        if (imports.contains(ended)) {
            ended.store.learnRate(ended.tier, ended.bytesAhead, ended.bytes, millis);
        }
        end(ended);
    }

    /** An import to the endpoint that brings the block. */
    public Optional<Import> find(EndpointId endpoint, BlockKey block) {
        for (Import running : imports) {
            if (running.endpoint.equals(endpoint) && running.brings(block)) {
                return Optional.of(running);
            }
        }
        return Optional.empty();
    }

    /** All that bring the block. */
    public List<Import> bringing(BlockKey block) {
        return imports.stream().filter(running -> running.brings(block)).toList();
    }
}
