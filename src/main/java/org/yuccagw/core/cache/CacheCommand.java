package org.yuccagw.core.cache;

import java.time.Duration;
import java.util.List;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WeightVersion;

/**
 * Commands of the cache component to engines and stores. Their outcomes are reported as {@link EngineCacheUpdate} and
 * {@link StoreUpdate} events.
 */
public interface CacheCommand extends ControlAction {

    /**
     * Makes the engine write the blocks to the store and seal them.
     *
     * @param number identifies the command in its {@link EngineCacheUpdate.ExportEnded}
     * @param writer identifies the command at the store, so that blocks that it leaves unsealed can be recognized
     * @param deadline longest duration of the export
     */
    record ExportBlocks(
            long number,
            EndpointStatus endpoint,
            StoreAddress store,
            String writer,
            List<BlockKey> blocks,
            Duration deadline)
            implements CacheCommand {
        public ExportBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /** A store and its network address. */
    record StoreAddress(StoreId id, NetworkAddress address) {}

    /**
     * Reads the cache events of an engine.
     *
     * @param after sequence number after which events are read
     */
    record ReadCacheEvents(EndpointId endpoint, NetworkAddress address, long after) implements CacheCommand {}

    /** Reads the keys of all blocks that an engine holds. */
    record ReadCacheSnapshot(EndpointId endpoint, NetworkAddress address) implements CacheCommand {}

    /**
     * Looks up which of the blocks a store holds.
     *
     * @param number identifies the command in its {@link StoreUpdate.BlocksFound}
     */
    record LookUpBlocks(long number, StoreAddress store, List<BlockKey> blocks) implements CacheCommand {
        public LookUpBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    record ReadStoreStatus(StoreAddress store) implements CacheCommand {}

    /** Reads the blocks that writers have begun but not sealed. */
    record ReadUnsealed(StoreAddress store) implements CacheCommand {}

    /**
     * Reads a page of the sealed blocks, in the order of their keys.
     *
     * @param afterKey key after which the page begins, empty for the first page
     * @param limit maximum number of blocks in the page
     */
    record ReadStorePage(StoreAddress store, String afterKey, int limit) implements CacheCommand {}

    /** Deletes exactly these generations. A block that no longer exists isn't treated as a failure. */
    record DeleteBlocks(StoreAddress store, List<Generation> blocks) implements CacheCommand {
        public DeleteBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /** One generation of a block. */
    record Generation(BlockKey key, long generation) {}

    /** Moves blocks to another tier of the store. */
    record MoveBlocks(StoreAddress store, StoreTier tier, List<StoredBlock> blocks) implements CacheCommand {
        public MoveBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /**
     * Imports blocks into an engine before a request needs them.
     *
     * @param deadline longest duration of the import
     */
    record PrefetchBlocks(
            EndpointStatus endpoint,
            StoreAddress store,
            WeightVersion version,
            List<StoredBlock> blocks,
            Duration deadline)
            implements CacheCommand {
        public PrefetchBlocks {
            blocks = List.copyOf(blocks);
        }
    }
}
