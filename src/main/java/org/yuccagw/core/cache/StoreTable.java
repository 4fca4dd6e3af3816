package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * What is known of the cache stores: where they are, how fast their links move blocks, what moves on them now, and how
 * full they are.
 *
 * <p>A link's speed is learned for each tier from finished imports: all bytes that were on the link when the import
 * began and its own, over the time that it took. A store that failed is left alone for a time that doubles with each
 * failure in a row, so that a dead one costs few deadlines.
 */
public final class StoreTable {
    private static final double LEARNING_RATE = 0.2;
    private static final double FIRST_BYTES_PER_MILLI = 250_000;
    private static final double FIRST_DISK_SHARE = 0.5;
    private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;
    private static final int MOST_DOUBLINGS = 6;
    private static final double LEAST_MILLIS = 0.5;

    private final TreeMap<StoreId, Store> stores = new TreeMap<>();

    private StoreTable() {}

    static StoreTable create() {
        return new StoreTable();
    }

    public Collection<Store> all() {
        return stores.values();
    }

    public Optional<Store> find(StoreId id) {
        return Optional.ofNullable(stores.get(id));
    }

    /** The platform lists the store. */
    Store list(StoreId id, NetworkAddress address) {
        Store store = stores.computeIfAbsent(id, Store::new);
        store.address = address;
        return store;
    }

    void retain(Collection<StoreId> listed) {
        stores.keySet().retainAll(listed);
    }

    ImmutableList<StoreId> ids() {
        return ImmutableList.copyOf(stores.keySet());
    }

    /** All stores as operators see them. */
    ImmutableList<StoresRequested.StoreStatus> status(long nowNanos) {
        return stores.values().stream()
                .map(store -> new StoresRequested.StoreStatus(
                        store.id,
                        store.address,
                        store.isUsable(nowNanos),
                        store.memory,
                        store.disk,
                        store.foregroundBytes,
                        store.backgroundBytes))
                .collect(ImmutableList.toImmutableList());
    }

    /** One store. */
    public static final class Store {
        private final StoreId id;
        private final EnumMap<StoreTier, Double> bytesPerMilli = new EnumMap<>(StoreTier.class);
        private NetworkAddress address;
        private long foregroundBytes;
        private long backgroundBytes;
        private int exports;
        private int failures;
        private long pausedUntilNanos = Long.MIN_VALUE;
        private StoreUpdate.Usage memory = StoreUpdate.Usage.unknown();
        private StoreUpdate.Usage disk = StoreUpdate.Usage.unknown();
        private double floorIndex;
        private boolean rateKnown;
        private boolean full;

        private Store(StoreId id) {
            this.id = id;
            bytesPerMilli.put(StoreTier.MEMORY, FIRST_BYTES_PER_MILLI);
            bytesPerMilli.put(StoreTier.DISK, FIRST_BYTES_PER_MILLI * FIRST_DISK_SHARE);
        }

        public StoreId id() {
            return id;
        }

        public NetworkAddress address() {
            return address;
        }

        /** Whether it may be used now; false for a while after failures. */
        public boolean isUsable(long nowNanos) {
            return nowNanos >= pausedUntilNanos;
        }

        /** It failed: leave it alone for a while, longer with each failure in a row. */
        void fail(long nowNanos) {
            if (isUsable(nowNanos)) {
                pausedUntilNanos = nowNanos + (FIRST_PAUSE_NANOS << Math.min(failures, MOST_DOUBLINGS));
                failures++;
            }
        }

        void succeed() {
            failures = 0;
            pausedUntilNanos = Long.MIN_VALUE;
        }

        /** Milliseconds until so many bytes have arrived, behind all that is on the link already. */
        public double fetchMillis(StoreTier tier, long bytes) {
            return (bytesAhead() + bytes) / bytesPerMilli.get(tier);
        }

        /** Milliseconds that the link needs for these bytes alone. */
        public double linkMillis(StoreTier tier, long bytes) {
            return bytes / bytesPerMilli.get(tier);
        }

        public long foregroundBytes() {
            return foregroundBytes;
        }

        /** Bytes that a transfer which begins now has before it. */
        public long bytesAhead() {
            return foregroundBytes + backgroundBytes;
        }

        public long backgroundBytes() {
            return backgroundBytes;
        }

        public int exports() {
            return exports;
        }

        /** A fetch for a waiting request begins. */
        public void beginFetch(long bytes) {
            foregroundBytes += bytes;
        }

        /** It ended, however. */
        public void endFetch(long bytes) {
            foregroundBytes = Math.max(0, foregroundBytes - bytes);
        }

        void beginExport(long bytes) {
            backgroundBytes += bytes;
            exports++;
        }

        void endExport(long bytes) {
            backgroundBytes = Math.max(0, backgroundBytes - bytes);
            exports = Math.max(0, exports - 1);
        }

        /** An import took this long, with so many bytes ahead of it when it began. */
        public void learnRate(StoreTier tier, long bytesAhead, long bytes, double millis) {
            double sample = (bytesAhead + bytes) / Math.max(LEAST_MILLIS, millis);
            double known = bytesPerMilli.get(tier);
            bytesPerMilli.put(tier, known * Math.pow(sample / known, LEARNING_RATE));
            rateKnown = true;
        }

        /** The store's own word on its link, taken until imports have shown its speed. */
        void statedRate(double statedBytesPerMilli) {
            if (!rateKnown && statedBytesPerMilli > 0) {
                bytesPerMilli.put(StoreTier.MEMORY, statedBytesPerMilli);
                bytesPerMilli.put(StoreTier.DISK, statedBytesPerMilli * FIRST_DISK_SHARE);
            }
        }

        public double bytesPerMilli(StoreTier tier) {
            return bytesPerMilli.get(tier);
        }

        StoreUpdate.Usage usage(StoreTier tier) {
            return tier == StoreTier.MEMORY ? memory : disk;
        }

        void setUsage(StoreUpdate.Usage newMemory, StoreUpdate.Usage newDisk) {
            memory = newMemory;
            disk = newDisk;
            full = false;
        }

        void addUsed(StoreTier tier, long bytes) {
            if (tier == StoreTier.MEMORY) {
                memory = memory.plus(bytes);
            } else {
                disk = disk.plus(bytes);
            }
        }

        /** The value that blocks must pass to be worth a place: that of the last ones evicted, 0 with room. */
        public double floorIndex() {
            return floorIndex;
        }

        void setFloorIndex(double index) {
            floorIndex = index;
        }

        public boolean isFull() {
            return full;
        }

        void setFull() {
            full = true;
        }
    }
}
