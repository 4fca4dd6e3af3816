package org.yuccagw.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.id.WeightVersion;

/**
 * A cost model of a model engine with continuous batching, in virtual time. It has no threads and no clock: the caller
 * passes the time in nanoseconds, which must not decrease.
 *
 * <p>The engine works in iterations. At the start of an iteration, queued requests are admitted to the batch while it
 * has free capacity, lower priority numbers first and then in order of arrival. An admitted sequence reuses the leading
 * blocks of its prompt that are in the prefix cache, so that only the rest of its prompt is prefilled. In an iteration,
 *
 * <ol>
 *   <li>prompt tokens are processed up to one chunk, the sequences in the order of their admission;
 *   <li>each sequence whose prefill was complete before generates one token;
 *   <li>a sequence whose prefill is completed in this iteration generates its first token at its end.
 * </ol>
 *
 * <p>An iteration takes {@code base + sequences * perSequence + promptTokens / prefillRate}. At the end of an answer
 * the complete blocks of its prompt are added to the cache. Blocks in use by a running sequence aren't evicted.
 *
 * <p>Example with the default costs, an idle engine and a prompt of 2,000 tokens of which 1,600 are cached: the first
 * token is generated after 12 ms + 0.25 ms + 400 / 8,000 s = 62.25 ms, each further token after 12.25 ms.
 *
 * <p>A sequence keeps the weight version at the time of its submission. A switch of versions clears the cache, and the
 * blocks of sequences with older versions aren't stored.
 */
public final class EngineModel {
    private static final long NEVER = Long.MAX_VALUE;

    private final EngineCosts costs;
    private final PrefixCache cache;
    private final TreeSet<Sequence> queue =
            new TreeSet<>(Comparator.<Sequence>comparingInt(sequence -> sequence.request.priority())
                    .thenComparingLong(sequence -> sequence.arrival));
    private final List<Sequence> batch = new ArrayList<>();
    private final ArrayDeque<EngineEvent> pendingEvents = new ArrayDeque<>();

    private WeightVersion version;
    private long nextArrival;
    private long iterationEndNanos = NEVER;

    private EngineModel(EngineCosts costs, WeightVersion version) {
        this.costs = costs;
        this.version = version;
        this.cache = new PrefixCache(costs.cacheBlocks());
    }

    public static EngineModel of(EngineCosts costs, WeightVersion version) {
        return new EngineModel(costs, version);
    }

    private static final class Sequence {
        private final EngineRequest request;
        private final long arrival;
        private final WeightVersion version;
        private PrefixCache.PinnedPrefix pinnedPrefix;
        private long cachedTokens;
        private long remainingPrefillTokens;
        private long iterationPrefillTokens;
        private int generatedTokens;

        private Sequence(EngineRequest request, long arrival, WeightVersion version) {
            this.request = request;
            this.arrival = arrival;
            this.version = version;
            this.remainingPrefillTokens = request.promptTokens();
        }
    }

    public EngineCosts costs() {
        return costs;
    }

    /** Returns the weight version of requests that are submitted from now on. */
    public WeightVersion version() {
        return version;
    }

    /**
     * Submits a request. {@link #advanceTo} must have been called with this time before.
     *
     * @return false if the queue is full, in which case the request has no effect
     */
    public boolean submit(long nowNanos, EngineRequest request) {
        boolean idle = iterationEndNanos == NEVER;
        if (!idle && queue.size() >= costs.queueLimit()) {
            return false;
        }
        queue.add(new Sequence(request, nextArrival++, version));
        if (idle) {
            beginIteration(nowNanos);
        }
        return true;
    }

    /** Advances the model up to and including a time and emits the events in the order of their times. */
    public void advanceTo(long nowNanos, Consumer<EngineEvent> events) {
        emitPending(events);
        while (iterationEndNanos <= nowNanos) {
            long endNanos = iterationEndNanos;
            endIteration(endNanos);
            beginIteration(endNanos);
            emitPending(events);
        }
    }

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if there is none. */
    public long nextEventNanos() {
        return pendingEvents.isEmpty()
                ? iterationEndNanos
                : pendingEvents.peekFirst().nanos();
    }

    /**
     * Cancels a queued or running request. It has no further events, and its prompt isn't stored.
     *
     * @return false if there is no such request
     */
    public boolean cancel(long id) {
        if (queue.removeIf(sequence -> sequence.request.id() == id)) {
            return true;
        }
        for (Iterator<Sequence> sequences = batch.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            if (sequence.request.id() == id) {
                cache.release(sequence.pinnedPrefix);
                sequences.remove();
                return true;
            }
        }
        return false;
    }

    /** Returns the cached blocks, least recently used first. */
    public List<BlockKey> cached() {
        return cache.keys();
    }

    public boolean isCached(BlockKey key) {
        return cache.contains(key);
    }

    /** Returns the number of leading blocks of a prompt that are cached. */
    public long cachedPrefixBlocks(List<BlockKey> keys) {
        return cache.prefixLength(keys);
    }

    /** Adds imported blocks to the cache and returns those that are in it afterwards. */
    public List<BlockKey> importBlocks(long nowNanos, List<BlockKey> keys) {
        addCacheEvents(nowNanos, cache.store(keys));
        return keys.stream().filter(cache::contains).toList();
    }

    /** Evicts those of the blocks that no sequence uses, as under memory pressure. */
    public void evict(long nowNanos, List<BlockKey> keys) {
        addRemovedEvent(nowNanos, cache.remove(keys));
    }

    public EngineLoad load() {
        long prefillTokens = 0;
        for (Sequence sequence : queue) {
            prefillTokens += sequence.remainingPrefillTokens;
        }
        for (Sequence sequence : batch) {
            prefillTokens += sequence.remainingPrefillTokens;
        }
        return new EngineLoad(batch.size(), queue.size(), prefillTokens);
    }

    /** Switches new requests to a weight version and clears the cache. Requests submitted before keep their version. */
    public void switchVersion(long nowNanos, WeightVersion newVersion) {
        if (newVersion.equals(version)) {
            return;
        }
        version = newVersion;
        addRemovedEvent(nowNanos, cache.clear());
    }

    private void beginIteration(long nowNanos) {
        while (batch.size() < costs.maxSequences() && !queue.isEmpty()) {
            admit(nowNanos, queue.pollFirst());
        }
        if (batch.isEmpty()) {
            iterationEndNanos = NEVER;
            return;
        }
        long chunkTokens = costs.prefillChunkTokens();
        long prefillTokens = 0;
        for (Sequence sequence : batch) {
            sequence.iterationPrefillTokens = Math.min(sequence.remainingPrefillTokens, chunkTokens - prefillTokens);
            prefillTokens += sequence.iterationPrefillTokens;
        }
        iterationEndNanos = nowNanos + costs.iterationNanos(batch.size(), prefillTokens);
    }

    private void admit(long nowNanos, Sequence sequence) {
        boolean sameVersion = sequence.version.equals(version);
        sequence.pinnedPrefix = cache.pinPrefix(sameVersion ? sequence.request.blocks() : List.of());
        long pinnedTokens = (long) sequence.pinnedPrefix.blocks() * costs.blockTokens();
        // The last prompt token is always processed, as the first token of the answer is generated from it.
        sequence.cachedTokens = Math.min(pinnedTokens, sequence.request.promptTokens() - 1);
        sequence.remainingPrefillTokens = sequence.request.promptTokens() - sequence.cachedTokens;
        batch.add(sequence);
        pendingEvents.add(new EngineEvent.Started(nowNanos, sequence.request.id(), sequence.cachedTokens));
    }

    private void endIteration(long endNanos) {
        for (Iterator<Sequence> sequences = batch.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            sequence.remainingPrefillTokens -= sequence.iterationPrefillTokens;
            if (sequence.remainingPrefillTokens > 0) {
                continue;
            }
            sequence.generatedTokens++;
            pendingEvents.add(new EngineEvent.Token(endNanos, sequence.request.id(), sequence.generatedTokens));
            if (sequence.generatedTokens == sequence.request.answerTokens()) {
                sequences.remove();
                finish(endNanos, sequence);
            }
        }
    }

    private void finish(long endNanos, Sequence sequence) {
        cache.release(sequence.pinnedPrefix);
        if (sequence.version.equals(version)) {
            addCacheEvents(endNanos, cache.store(sequence.request.blocks()));
        }
        pendingEvents.add(new EngineEvent.Finished(endNanos, sequence.request.id(), sequence.cachedTokens));
    }

    private void addCacheEvents(long nowNanos, PrefixCache.Change change) {
        addRemovedEvent(nowNanos, change.removed());
        if (!change.stored().isEmpty()) {
            pendingEvents.add(new EngineEvent.BlocksStored(nowNanos, List.copyOf(change.stored())));
        }
    }

    private void addRemovedEvent(long nowNanos, List<BlockKey> removed) {
        if (!removed.isEmpty()) {
            pendingEvents.add(new EngineEvent.BlocksRemoved(nowNanos, List.copyOf(removed)));
        }
    }

    private void emitPending(Consumer<EngineEvent> events) {
        for (EngineEvent event = pendingEvents.pollFirst(); event != null; event = pendingEvents.pollFirst()) {
            events.accept(event);
        }
    }
}
