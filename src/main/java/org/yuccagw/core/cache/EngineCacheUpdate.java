package org.yuccagw.core.cache;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WeightVersion;

/** Events that report the state of the engines' caches and the outcomes of exports and imports. */
public interface EngineCacheUpdate extends ControlEvent {
    EndpointId endpoint();

    /**
     * Cache events of an engine.
     *
     * @param lastSequence sequence number of the last event of the engine
     */
    record EventsRead(EndpointId endpoint, long lastSequence, List<ReplicaIndex.Event> events)
            implements EngineCacheUpdate {
        public EventsRead {
            events = List.copyOf(events);
        }
    }

    /**
     * The keys of all blocks that an engine holds.
     *
     * @param sequence sequence number of the last event that the snapshot includes
     */
    record SnapshotRead(EndpointId endpoint, long sequence, Optional<WeightVersion> version, List<BlockKey> blocks)
            implements EngineCacheUpdate {
        public SnapshotRead {
            blocks = List.copyOf(blocks);
        }
    }

    /** The cache events or the snapshot of an engine could not be read. */
    record ReadFailed(EndpointId endpoint) implements EngineCacheUpdate {}

    /**
     * An export ended.
     *
     * @param number the number of the {@link CacheCommand.ExportBlocks}
     * @param exported blocks that are now sealed in the store, in the order of the prompt
     * @param full whether the store had no capacity for the other blocks
     * @param failure empty if the command was carried out
     */
    record ExportEnded(
            long number, EndpointId endpoint, List<StoredBlock> exported, boolean full, Optional<String> failure)
            implements EngineCacheUpdate {
        public ExportEnded {
            exported = List.copyOf(exported);
        }
    }

    /** Why an engine didn't commit a block of an import. */
    enum ImportFailure {
        /** The store no longer holds the block, or holds another generation of it. */
        GONE,
        /** The length or the checksum didn't match. */
        DAMAGED,
        /** The deadline of the import passed. */
        LATE,
        /** The engine has no free capacity. */
        FULL,
        /** The store failed or stopped sending bytes. */
        STORE
    }

    /** A block that an engine didn't commit, with the reason. */
    record FailedBlock(BlockKey key, ImportFailure reason) {}

    /**
     * An import ended, either one for a waiting request or a prefetch.
     *
     * @param requested all blocks of the import
     * @param imported number of blocks that the engine committed
     * @param bytes bytes transferred
     * @param millis duration of the import, in milliseconds
     * @param failed blocks that the engine didn't commit
     */
    record ImportEnded(
            EndpointId endpoint,
            StoreId store,
            List<StoredBlock> requested,
            int imported,
            long bytes,
            long millis,
            List<FailedBlock> failed)
            implements EngineCacheUpdate {
        public ImportEnded {
            requested = List.copyOf(requested);
            failed = List.copyOf(failed);
        }
    }
}
