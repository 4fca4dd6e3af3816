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
 * What the cache part asks of engines and stores; outcomes come as {@link EngineCacheUpdate} and {@link StoreUpdate}.
 */
public interface CacheOrder extends ControlAction {

    /**
     * The engine shall write the blocks to the store and seal them.
     *
     * @param writer names this order at the store, so that what it leaves unsealed can be told apart
     */
    record ExportBlocks(
            long number,
            EndpointStatus endpoint,
            StoreAddress store,
            String writer,
            List<BlockKey> blocks,
            Duration deadline)
            implements CacheOrder {
        public ExportBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /** A store and where it is. */
    record StoreAddress(StoreId id, NetworkAddress address) {}

    record ReadCacheEvents(EndpointId endpoint, NetworkAddress address, long after) implements CacheOrder {}

    record ReadCacheSnapshot(EndpointId endpoint, NetworkAddress address) implements CacheOrder {}

    record LookUpBlocks(long number, StoreAddress store, List<BlockKey> blocks) implements CacheOrder {
        public LookUpBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    record ReadStoreStatus(StoreAddress store) implements CacheOrder {}

    record ReadUnsealed(StoreAddress store) implements CacheOrder {}

    /** Reads the sealed blocks after a key, empty for the first page. */
    record ReadStorePage(StoreAddress store, String afterKey, int limit) implements CacheOrder {}

    /** Deletes exactly these generations; a block that is gone already is no failure. */
    record DeleteBlocks(StoreAddress store, List<Generation> blocks) implements CacheOrder {
        public DeleteBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /** One generation of a block. */
    record Generation(BlockKey key, long generation) {}

    record MoveBlocks(StoreAddress store, StoreTier tier, List<StoredBlock> blocks) implements CacheOrder {
        public MoveBlocks {
            blocks = List.copyOf(blocks);
        }
    }

    /** Brings blocks to an engine before anyone asks for them. */
    record PrefetchBlocks(
            EndpointStatus endpoint,
            StoreAddress store,
            WeightVersion version,
            List<StoredBlock> blocks,
            Duration deadline)
            implements CacheOrder {
        public PrefetchBlocks {
            blocks = List.copyOf(blocks);
        }
    }
}
