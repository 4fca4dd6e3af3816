package org.yuccagw.core.cache;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.id.WeightVersion;

/** What engines told of their caches, as events. */
public interface EngineCacheUpdate extends ControlEvent {
    EndpointId endpoint();

    record EventsRead(EndpointId endpoint, long lastSequence, List<ReplicaIndex.Event> events)
            implements EngineCacheUpdate {
        public EventsRead {
            events = List.copyOf(events);
        }
    }

    record SnapshotRead(EndpointId endpoint, long sequence, Optional<WeightVersion> version, List<BlockKey> blocks)
            implements EngineCacheUpdate {
        public SnapshotRead {
            blocks = List.copyOf(blocks);
        }
    }

    /** Events or a snapshot could not be read. */
    record ReadFailed(EndpointId endpoint) implements EngineCacheUpdate {}

    /**
     * An export ended.
     *
     * @param exported blocks that are sealed in the store now, in the order of the prompt
     * @param full whether the store had no room for the rest
     * @param failure empty if the order was carried out
     */
    record ExportEnded(
            long number, EndpointId endpoint, List<StoredBlock> exported, boolean full, Optional<String> failure)
            implements EngineCacheUpdate {
        public ExportEnded {
            exported = List.copyOf(exported);
        }
    }

    /** Why an engine didn't commit a block. */
    enum ImportFailure {
        /** The store has it no more, or has another generation. */
        GONE,
        /** Length or checksum didn't match. */
        DAMAGED,
        /** The deadline passed. */
        LATE,
        /** The engine has no room. */
        FULL,
        /** The store failed or fell silent. */
        STORE
    }

    record FailedBlock(BlockKey key, ImportFailure reason) {}

    /** An import ended: before a request, or as a prefetch. */
    record ImportEnded(
            EndpointId endpoint,
            StoreId store,
            List<StoredBlock> asked,
            int imported,
            long bytes,
            long millis,
            List<FailedBlock> failed)
            implements EngineCacheUpdate {
        public ImportEnded {
            asked = List.copyOf(asked);
            failed = List.copyOf(failed);
        }
    }
}
