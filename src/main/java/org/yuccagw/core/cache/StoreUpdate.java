package org.yuccagw.core.cache;

import java.util.List;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.StoreId;

/** What the stores told, as events. */
public interface StoreUpdate extends ControlEvent {
    StoreId store();

    /**
     * How full a tier is, in bytes.
     *
     * @param capacity 0 if not known
     */
    record Usage(long used, long capacity) {
        public static Usage unknown() {
            return new Usage(0, 0);
        }

        double share() {
            return capacity == 0 ? 0 : (double) used / capacity;
        }

        Usage plus(long bytes) {
            return new Usage(Math.max(0, used + bytes), capacity);
        }

        /** Bytes over the given share of the capacity. */
        long over(double share) {
            return capacity == 0 ? 0 : Math.max(0, used - (long) (capacity * share));
        }
    }

    record StatusRead(StoreId store, Usage memory, Usage disk, double linkBytesPerMilli) implements StoreUpdate {}

    /** A sealed block and its tier. */
    record Found(StoredBlock block, StoreTier tier) {}

    /** Answer to a lookup; empty also when the store didn't answer, which {@link Failed} tells. */
    record BlocksFound(long number, StoreId store, List<Found> found) implements StoreUpdate {
        public BlocksFound {
            found = List.copyOf(found);
        }
    }

    /** A block that a writer began and hasn't sealed. */
    record Unsealed(BlockKey key, long generation, String writer, long ageMillis) {}

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

    /** Blocks are in another tier now; those that didn't fit are left out. */
    record BlocksMoved(StoreId store, StoreTier tier, List<StoredBlock> moved) implements StoreUpdate {
        public BlocksMoved {
            moved = List.copyOf(moved);
        }
    }

    /** The store didn't answer, or with an error of its own. */
    record Failed(StoreId store, String reason) implements StoreUpdate {}
}
