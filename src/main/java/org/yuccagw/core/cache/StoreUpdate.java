package org.yuccagw.core.cache;

import java.util.List;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.StoreId;

/** Events that report the state and the answers of cache stores. */
public interface StoreUpdate extends ControlEvent {
    StoreId store();

    /**
     * Usage of a tier, in bytes.
     *
     * @param capacityBytes 0 if unknown
     */
    record Usage(long usedBytes, long capacityBytes) {
        public static Usage unknown() {
            return new Usage(0, 0);
        }

        /** Returns the used share of the capacity, 0 if the capacity is unknown. */
        double usedShare() {
            return capacityBytes == 0 ? 0 : (double) usedBytes / capacityBytes;
        }

        Usage plus(long bytes) {
            return new Usage(Math.max(0, usedBytes + bytes), capacityBytes);
        }

        /** Returns the used bytes in excess of the given share of the capacity. */
        long bytesOver(double share) {
            return capacityBytes == 0 ? 0 : Math.max(0, usedBytes - (long) (capacityBytes * share));
        }
    }

    /**
     * The status of a store.
     *
     * @param linkBytesPerMilli rate of its link in bytes per millisecond, 0 if unknown
     */
    record StatusRead(StoreId store, Usage memory, Usage disk, double linkBytesPerMilli) implements StoreUpdate {}

    /** A sealed block and its tier. */
    record Found(StoredBlock block, StoreTier tier) {}

    /**
     * The answer to a lookup. It is empty as well if the store didn't answer, which is reported by {@link Failed}.
     *
     * @param number the number of the {@link CacheCommand.LookUpBlocks}
     */
    record BlocksFound(long number, StoreId store, List<Found> found) implements StoreUpdate {
        public BlocksFound {
            found = List.copyOf(found);
        }
    }

    /** A block that a writer has begun but not sealed. */
    record Unsealed(BlockKey key, long generation, String writer, long ageMillis) {}

    /** The blocks that writers have begun but not sealed. */
    record UnsealedRead(StoreId store, List<Unsealed> blocks) implements StoreUpdate {
        public UnsealedRead {
            blocks = List.copyOf(blocks);
        }
    }

    /** A page of the sealed blocks, in the order of their keys. */
    record PageRead(StoreId store, List<Found> blocks) implements StoreUpdate {
        public PageRead {
            blocks = List.copyOf(blocks);
        }
    }

    /** Blocks were moved to another tier. Blocks for which it had no capacity are not listed. */
    record BlocksMoved(StoreId store, StoreTier tier, List<StoredBlock> moved) implements StoreUpdate {
        public BlocksMoved {
            moved = List.copyOf(moved);
        }
    }

    /** The store didn't answer, or it answered with an internal error. */
    record Failed(StoreId store, String reason) implements StoreUpdate {}
}
