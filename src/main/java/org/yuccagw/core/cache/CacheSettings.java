package org.yuccagw.core.cache;

import java.time.Duration;

/**
 * Settings of the cache component.
 *
 * @param exports when blocks are copied to a store
 * @param eviction which copies are evicted first when a store fills up
 * @param maxTreeBlocks maximum number of blocks in the {@link PromptTree}, over all prompts
 * @param maxReplicaPairs maximum number of pairs of block and replica in the {@link ReplicaIndex}
 * @param pollsPerSecond maximum reads of cache events per second, over all replicas
 * @param maxConcurrentExports maximum number of concurrent exports on the link of one store
 * @param exportDelay time since the last use of a prompt after which it may be exported
 * @param exportCostFactor cost of a millisecond of link time, in milliseconds of prefill
 * @param exportDeadline longest duration of one export
 * @param importDeadline longest duration of one import for a waiting request
 * @param lookUpDeadline longest wait for the stores' answers about a prompt that is unknown to this entry
 */
public record CacheSettings(
        ExportPolicy exports,
        EvictionPolicy eviction,
        int maxTreeBlocks,
        int maxReplicaPairs,
        double pollsPerSecond,
        int maxConcurrentExports,
        Duration exportDelay,
        double exportCostFactor,
        Duration exportDeadline,
        Duration importDeadline,
        Duration lookUpDeadline) {
    private static final CacheSettings DEFAULTS = new CacheSettings(
            ExportPolicy.BY_VALUE,
            EvictionPolicy.BY_VALUE,
            1_500_000,
            1_500_000,
            20,
            2,
            Duration.ofSeconds(2),
            0.05,
            Duration.ofSeconds(20),
            Duration.ofSeconds(10),
            Duration.ofMillis(25));

    /** When blocks are copied to a store. */
    public enum ExportPolicy {
        NEVER,
        /** Immediately after each answer. */
        ALWAYS,
        /**
         * If the expected saving exceeds the cost, in the order of their ratio, and only while no request waits for the
         * link.
         */
        BY_VALUE
    }

    /** Which copies are evicted first. */
    public enum EvictionPolicy {
        LEAST_RECENTLY_USED,
        /** Those with the lowest Gittins index. */
        BY_VALUE
    }

    public static CacheSettings defaults() {
        return DEFAULTS;
    }

    public CacheSettings withPolicies(ExportPolicy newExports, EvictionPolicy newEviction) {
        return new CacheSettings(
                newExports,
                newEviction,
                maxTreeBlocks,
                maxReplicaPairs,
                pollsPerSecond,
                maxConcurrentExports,
                exportDelay,
                exportCostFactor,
                exportDeadline,
                importDeadline,
                lookUpDeadline);
    }

    public CacheSettings withExports(int newMaxConcurrentExports, Duration newExportDelay, double newExportCostFactor) {
        return new CacheSettings(
                exports,
                eviction,
                maxTreeBlocks,
                maxReplicaPairs,
                pollsPerSecond,
                newMaxConcurrentExports,
                newExportDelay,
                newExportCostFactor,
                exportDeadline,
                importDeadline,
                lookUpDeadline);
    }

    public CacheSettings withIndexLimits(int newMaxTreeBlocks, int newMaxReplicaPairs) {
        return new CacheSettings(
                exports,
                eviction,
                newMaxTreeBlocks,
                newMaxReplicaPairs,
                pollsPerSecond,
                maxConcurrentExports,
                exportDelay,
                exportCostFactor,
                exportDeadline,
                importDeadline,
                lookUpDeadline);
    }

    public CacheSettings withPollsPerSecond(double newPollsPerSecond) {
        return new CacheSettings(
                exports,
                eviction,
                maxTreeBlocks,
                maxReplicaPairs,
                newPollsPerSecond,
                maxConcurrentExports,
                exportDelay,
                exportCostFactor,
                exportDeadline,
                importDeadline,
                lookUpDeadline);
    }
}
