package org.yuccagw.standins.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.cache.BlockKey;

/**
 * A cache of complete prompt blocks with a fixed capacity, which evicts the least recently used block first.
 *
 * <p>Blocks that a running sequence uses are pinned and never evicted. The blocks of one prompt are marked as used from
 * the last to the first, so that the end of a prompt is evicted before its start: a prefix can be reused without the
 * rest, but not the rest without its prefix.
 */
final class PrefixCache {
    private final int capacityBlocks;
    /** Blocks from the least to the most recently used. */
    private final LinkedHashMap<BlockKey, PinCount> blocks = new LinkedHashMap<>();

    PrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** The blocks that a change added to and evicted from the cache. */
    record Change(List<BlockKey> stored, List<BlockKey> removed) {}

    /**
     * Number of pins of a block, shared by the cache and sequences. A pin may outlive the entry of its block in the
     * cache.
     */
    private static final class PinCount {
        private int count;
    }

    /** The pins of one sequence. */
    static final class PinnedPrefix {
        private final List<PinCount> pins = new ArrayList<>();

        int blocks() {
            return pins.size();
        }
    }

    List<BlockKey> keys() {
        return List.copyOf(blocks.keySet());
    }

    boolean contains(BlockKey key) {
        return blocks.containsKey(key);
    }

    int prefixLength(List<BlockKey> keys) {
        int length = 0;
        while (length < keys.size() && blocks.containsKey(keys.get(length))) {
            length++;
        }
        return length;
    }

    /** Pins the cached prefix of a prompt and marks it as the most recently used. */
    PinnedPrefix pinPrefix(List<BlockKey> keys) {
        PinnedPrefix prefixPins = new PinnedPrefix();
        List<BlockKey> prefix = keys.subList(0, prefixLength(keys));
        for (BlockKey key : prefix) {
            PinCount pinCount = blocks.get(key);
            pinCount.count++;
            prefixPins.pins.add(pinCount);
        }
        markUsed(prefix);
        return prefixPins;
    }

    void release(PinnedPrefix prefixPins) {
        prefixPins.pins.forEach(pinCount -> pinCount.count--);
        prefixPins.pins.clear();
    }

    /**
     * Adds blocks, evicting others as needed. If nothing can be evicted any more, the remaining blocks are left out.
     */
    Change store(List<BlockKey> keys) {
        List<BlockKey> stored = new ArrayList<>();
        List<BlockKey> removed = new ArrayList<>();
        List<PinCount> pinned = new ArrayList<>();
        List<BlockKey> present = new ArrayList<>();
        for (BlockKey key : keys) {
            PinCount pinCount = blocks.get(key);
            if (pinCount == null) {
                if (!evictIfFull(removed)) {
                    break;
                }
                pinCount = new PinCount();
                blocks.put(key, pinCount);
                stored.add(key);
            }
            // Pinned until the end of this method, so that later blocks of a prompt don't evict its earlier blocks.
            pinCount.count++;
            pinned.add(pinCount);
            present.add(key);
        }
        pinned.forEach(pinCount -> pinCount.count--);
        markUsed(present);
        return new Change(stored, removed);
    }

    List<BlockKey> clear() {
        List<BlockKey> removed = keys();
        blocks.clear();
        return removed;
    }

    /** Removes the blocks that aren't pinned and returns them. */
    List<BlockKey> remove(Collection<BlockKey> keys) {
        List<BlockKey> removed = new ArrayList<>();
        for (BlockKey key : keys) {
            PinCount pinCount = blocks.get(key);
            if (pinCount != null && pinCount.count == 0) {
                blocks.remove(key);
                removed.add(key);
            }
        }
        return removed;
    }

    /** Evicts a block if the cache is full. Returns false if all blocks are pinned. */
    private boolean evictIfFull(List<BlockKey> removed) {
        if (blocks.size() < capacityBlocks) {
            return true;
        }
        for (Iterator<Map.Entry<BlockKey, PinCount>> entries = blocks.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<BlockKey, PinCount> eldest = entries.next();
            if (eldest.getValue().count == 0) {
                entries.remove();
                removed.add(eldest.getKey());
                return true;
            }
        }
        return false;
    }

    private void markUsed(List<BlockKey> keys) {
        Map<BlockKey, PinCount> pinCounts = new HashMap<>();
        for (BlockKey key : keys) {
            pinCounts.put(key, blocks.remove(key));
        }
        for (int i = keys.size() - 1; i >= 0; i--) {
            blocks.put(keys.get(i), pinCounts.get(keys.get(i)));
        }
    }
}
