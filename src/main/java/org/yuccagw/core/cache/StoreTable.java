package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * The cache stores as known locally: their addresses, the rates and current loads of their links, and the usage of
 * their tiers.
 *
 * <p>The rate of a link is estimated for each tier from completed imports: the bytes of the import and the bytes that
 * were queued on the link when it began, divided by the duration of the import. A store that failed isn't used during a
 * back-off that doubles with each consecutive failure, so that a failed store makes few requests wait for a deadline.
 */
public final class StoreTable {
    private static final double RATE_SMOOTHING_EXPONENT = 0.2;
    private static final double INITIAL_BYTES_PER_MILLI = 250_000;
    private static final double INITIAL_DISK_RATE_RATIO = 0.5;
    private static final long INITIAL_BACK_OFF_NANOS = 1_000_000_000L;
    private static final int MAX_BACK_OFF_DOUBLINGS = 6;
    private static final double MIN_SAMPLE_MILLIS = 0.5;

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

    /** Adds a store that the platform lists, or updates its address. */
    Store addOrUpdate(StoreId id, NetworkAddress address) {
        Store store = stores.computeIfAbsent(id, Store::new);
        store.address = address;
        return store;
    }

    void retainAll(Collection<StoreId> listed) {
        stores.keySet().retainAll(listed);
    }

    ImmutableList<StoreId> ids() {
        return ImmutableList.copyOf(stores.keySet());
    }

    /** Returns the states of all stores for an operator. */
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

    /** The state of one store. */
    public static final class Store {
        private final StoreId id;
        private final EnumMap<StoreTier, Double> bytesPerMilli = new EnumMap<>(StoreTier.class);
        private NetworkAddress address;
        private long foregroundBytes;
        private long backgroundBytes;
        private int exports;
        private int consecutiveFailures;
        private long backOffUntilNanos = Long.MIN_VALUE;
        private StoreUpdate.Usage memory = StoreUpdate.Usage.unknown();
        private StoreUpdate.Usage disk = StoreUpdate.Usage.unknown();
        private double admissionThreshold;
        private boolean hasMeasuredRate;
        private boolean full;

        private Store(StoreId id) {
            this.id = id;
            bytesPerMilli.put(StoreTier.MEMORY, INITIAL_BYTES_PER_MILLI);
            bytesPerMilli.put(StoreTier.DISK, INITIAL_BYTES_PER_MILLI * INITIAL_DISK_RATE_RATIO);
        }

        public StoreId id() {
            return id;
        }

        public NetworkAddress address() {
            return address;
        }

        /** Returns whether the store may be used now. False during the back-off after a failure. */
        public boolean isUsable(long nowNanos) {
            return nowNanos >= backOffUntilNanos;
        }

        /**
         * Records a failure and starts a back-off of 1 s, doubled for each consecutive failure up to 64 s. Failures
         * during a back-off don't extend it.
         */
        void recordFailure(long nowNanos) {
            if (isUsable(nowNanos)) {
                backOffUntilNanos =
                        nowNanos + (INITIAL_BACK_OFF_NANOS << Math.min(consecutiveFailures, MAX_BACK_OFF_DOUBLINGS));
                consecutiveFailures++;
            }
        }

        /** Ends the back-off. */
        void recordSuccess() {
            consecutiveFailures = 0;
            backOffUntilNanos = Long.MIN_VALUE;
        }

        /** Returns the predicted milliseconds of a fetch, including the transfer of the bytes queued on the link. */
        public double fetchMillis(StoreTier tier, long bytes) {
            return (queuedBytes() + bytes) / bytesPerMilli.get(tier);
        }

        /**
         * Returns the predicted milliseconds for which the link transfers the bytes, without the bytes queued on it.
         */
        public double transferMillis(StoreTier tier, long bytes) {
            return bytes / bytesPerMilli.get(tier);
        }

        /** Returns the bytes of the fetches in progress, for waiting requests and prefetches. */
        public long foregroundBytes() {
            return foregroundBytes;
        }

        /** Returns the bytes queued on the link before a transfer that begins now. */
        public long queuedBytes() {
            return foregroundBytes + backgroundBytes;
        }

        /** Returns the bytes of the exports in progress. */
        public long backgroundBytes() {
            return backgroundBytes;
        }

        /** Returns the number of exports in progress. */
        public int exports() {
            return exports;
        }

        /** Adds the bytes of a fetch that begins to the load of the link. */
        public void beginFetch(long bytes) {
            foregroundBytes += bytes;
        }

        /** Removes the bytes of a fetch that ended, with any outcome. */
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

        /**
         * Updates the estimated rate of a tier from a completed import.
         *
         * @param queuedBytes bytes that were queued on the link when the import began
         * @param bytes bytes of the import
         * @param millis duration of the import
         */
        public void updateRate(StoreTier tier, long queuedBytes, long bytes, double millis) {
            double sampleBytesPerMilli = (queuedBytes + bytes) / Math.max(MIN_SAMPLE_MILLIS, millis);
            double currentBytesPerMilli = bytesPerMilli.get(tier);
            bytesPerMilli.put(
                    tier,
                    currentBytesPerMilli
                            * Math.pow(sampleBytesPerMilli / currentBytesPerMilli, RATE_SMOOTHING_EXPONENT));
            hasMeasuredRate = true;
        }

        /** Sets the link rate that the store reports. It is used until an import has been measured. */
        void setReportedRate(double reportedBytesPerMilli) {
            if (!hasMeasuredRate && reportedBytesPerMilli > 0) {
                bytesPerMilli.put(StoreTier.MEMORY, reportedBytesPerMilli);
                bytesPerMilli.put(StoreTier.DISK, reportedBytesPerMilli * INITIAL_DISK_RATE_RATIO);
            }
        }

        /** Returns the estimated rate of the link for a tier, in bytes per millisecond. */
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

        /**
         * Returns the Gittins index that blocks must exceed to be exported to the store: a moving average over the
         * blocks evicted last, 0 while the store has free capacity.
         */
        public double admissionThreshold() {
            return admissionThreshold;
        }

        void setAdmissionThreshold(double gittinsIndex) {
            admissionThreshold = gittinsIndex;
        }

        /** Returns whether the store refused blocks of an export for lack of capacity since its usage was last read. */
        public boolean isFull() {
            return full;
        }

        void setFull() {
            full = true;
        }
    }
}
