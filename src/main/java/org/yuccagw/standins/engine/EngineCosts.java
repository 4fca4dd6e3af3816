package org.yuccagw.standins.engine;

import java.time.Duration;

/**
 * The cost of the work of an engine. The defaults are those of a mid-sized model on one accelerator.
 *
 * @param iterationBase the fixed duration of one iteration of the batch
 * @param iterationPerSequence the duration that each sequence in the batch adds to an iteration
 * @param prefillTokensPerSecond the prompt tokens processed per second; prefill extends the iterations that
 *     include it
 * @param prefillChunkTokens the maximum number of prompt tokens processed in one iteration, over all sequences
 * @param maxSequences the maximum number of sequences in the batch
 * @param queueLimit the maximum number of queued requests; further requests are rejected
 * @param blockTokens the tokens of one cache block
 * @param cacheBlocks the capacity of the prefix cache in blocks, which excludes the memory of sequences in the batch
 */
public record EngineCosts(
        Duration iterationBase,
        Duration iterationPerSequence,
        double prefillTokensPerSecond,
        int prefillChunkTokens,
        int maxSequences,
        int queueLimit,
        int blockTokens,
        int cacheBlocks) {
    private static final EngineCosts DEFAULTS =
            new EngineCosts(Duration.ofMillis(12), Duration.ofNanos(250_000), 8_000, 2_048, 32, 256, 16, 8_192);

    public EngineCosts {
        if (iterationBase.isNegative() || iterationBase.isZero() || iterationPerSequence.isNegative()) {
            throw new IllegalArgumentException("the duration of an iteration must be positive, found " + iterationBase);
        }
        if (prefillTokensPerSecond <= 0 || prefillChunkTokens < 1) {
            throw new IllegalArgumentException("the prefill rate and chunk size must be positive");
        }
        if (maxSequences < 1 || queueLimit < 0 || blockTokens < 1 || cacheBlocks < 0) {
            throw new IllegalArgumentException(
                    "the batch and block sizes must be at least 1, the queue limit and cache size at least 0");
        }
    }

    /**
     * Returns the defaults: iterations of 12 ms and 0.25 ms for each sequence, a prefill rate of 8,000 tokens/s, at
     * most 32 sequences, and a cache of 131,072 tokens.
     */
    public static EngineCosts defaults() {
        return DEFAULTS;
    }

    /** Returns the costs of an engine that is faster by {@code factor} in iterations and prefill. */
    public EngineCosts withSpeedFactor(double factor) {
        return new EngineCosts(
                divide(iterationBase, factor),
                divide(iterationPerSequence, factor),
                prefillTokensPerSecond * factor,
                prefillChunkTokens,
                maxSequences,
                queueLimit,
                blockTokens,
                cacheBlocks);
    }

    public EngineCosts withCacheBlocks(int blocks) {
        return new EngineCosts(
                iterationBase,
                iterationPerSequence,
                prefillTokensPerSecond,
                prefillChunkTokens,
                maxSequences,
                queueLimit,
                blockTokens,
                blocks);
    }

    public EngineCosts withBlockTokens(int newBlockTokens) {
        return new EngineCosts(
                iterationBase,
                iterationPerSequence,
                prefillTokensPerSecond,
                prefillChunkTokens,
                maxSequences,
                queueLimit,
                newBlockTokens,
                cacheBlocks);
    }

    public EngineCosts withBatch(int newMaxSequences, int newQueueLimit) {
        return new EngineCosts(
                iterationBase,
                iterationPerSequence,
                prefillTokensPerSecond,
                prefillChunkTokens,
                newMaxSequences,
                newQueueLimit,
                blockTokens,
                cacheBlocks);
    }

    public EngineCosts withPrefill(double tokensPerSecond, int chunkTokens) {
        return new EngineCosts(
                iterationBase,
                iterationPerSequence,
                tokensPerSecond,
                chunkTokens,
                maxSequences,
                queueLimit,
                blockTokens,
                cacheBlocks);
    }

    public EngineCosts withIteration(Duration base, Duration perSequence) {
        return new EngineCosts(
                base,
                perSequence,
                prefillTokensPerSecond,
                prefillChunkTokens,
                maxSequences,
                queueLimit,
                blockTokens,
                cacheBlocks);
    }

    /** Returns the duration of an iteration with this number of sequences and prompt tokens. */
    long iterationNanos(int sequences, long prefillTokens) {
        double prefillNanos = prefillTokens * 1e9 / prefillTokensPerSecond;
        return iterationBase.toNanos() + sequences * iterationPerSequence.toNanos() + (long) prefillNanos;
    }

    private static Duration divide(Duration duration, double factor) {
        return Duration.ofNanos((long) Math.max(1, duration.toNanos() / factor));
    }
}
