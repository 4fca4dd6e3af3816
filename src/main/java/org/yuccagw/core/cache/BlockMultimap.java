package org.yuccagw.core.cache;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;

/**
 * A compact hash multimap from block fingerprints to small non-negative integers, with open addressing and linear
 * probing over two arrays.
 *
 * <p>No empty slot lies between the home slot of a fingerprint and any of its pairs, so a lookup probes from the home
 * slot to the first empty slot. A removal shifts later pairs back and leaves no tombstone, which keeps probe sequences
 * short. A pair takes 12 bytes divided by the load factor. Values are stored incremented by one, because 0 marks an
 * empty slot.
 *
 * <p>A fingerprint is the first 64 of the 128 bits of a key. Blocks with equal fingerprints are not distinguished, so
 * the contents may be used as hints only.
 */
final class BlockMultimap {
    private static final int MIN_CAPACITY = 1024;
    private static final int LOAD_FACTOR_NUMERATOR = 5;
    private static final int LOAD_FACTOR_DENOMINATOR = 8;
    private static final int EMPTY_SLOT = 0;

    private final int maxPairs;
    private final IntPredicate isValid;
    private long[] fingerprints = new long[MIN_CAPACITY];
    private int[] values = new int[MIN_CAPACITY];
    private int size;
    private long droppedPairs;
    private long rebuildCount;

    private BlockMultimap(int maxPairs, IntPredicate isValid) {
        this.maxPairs = maxPairs;
        this.isValid = isValid;
    }

    /**
     * Returns an empty multimap.
     *
     * @param maxPairs limit beyond which new pairs are dropped and counted
     * @param isValid whether a value is still in use; other pairs are removed when the table is rebuilt
     */
    static BlockMultimap of(int maxPairs, IntPredicate isValid) {
        return new BlockMultimap(maxPairs, isValid);
    }

    int size() {
        return size;
    }

    /** Returns how many pairs were dropped because the table was full. */
    long droppedPairs() {
        return droppedPairs;
    }

    /** Returns how often the table was rebuilt. A rebuild removes all pairs whose value was invalid before it. */
    long rebuildCount() {
        return rebuildCount;
    }

    void put(BlockKey key, int value) {
        long fingerprint = fingerprintOf(key);
        if (findSlot(fingerprint, value) >= 0) {
            return;
        }
        if ((long) (size + 1) * LOAD_FACTOR_DENOMINATOR > (long) values.length * LOAD_FACTOR_NUMERATOR) {
            rebuild();
        }
        if (size >= maxPairs) {
            droppedPairs++;
            return;
        }
        insertPair(fingerprint, value + 1);
    }

    void remove(BlockKey key, int value) {
        int slot = findSlot(fingerprintOf(key), value);
        if (slot >= 0) {
            removeSlot(slot);
        }
    }

    boolean contains(BlockKey key, int value) {
        return findSlot(fingerprintOf(key), value) >= 0;
    }

    void forEach(BlockKey key, IntConsumer action) {
        long fingerprint = fingerprintOf(key);
        for (int i = homeSlot(fingerprint); values[i] != EMPTY_SLOT; i = nextSlot(i)) {
            if (fingerprints[i] == fingerprint) {
                action.accept(values[i] - 1);
            }
        }
    }

    private static long fingerprintOf(BlockKey key) {
        return key.high();
    }

    private int findSlot(long fingerprint, int value) {
        for (int i = homeSlot(fingerprint); values[i] != EMPTY_SLOT; i = nextSlot(i)) {
            if (fingerprints[i] == fingerprint && values[i] == value + 1) {
                return i;
            }
        }
        return -1;
    }

    private void insertPair(long fingerprint, int storedValue) {
        int i = homeSlot(fingerprint);
        while (values[i] != EMPTY_SLOT) {
            i = nextSlot(i);
        }
        fingerprints[i] = fingerprint;
        values[i] = storedValue;
        size++;
    }

    /**
     * Removes the pair in a slot by backward shifting: a later pair of the same probe sequence moves into the free slot
     * unless its home slot lies behind it.
     */
    private void removeSlot(int removedSlot) {
        int freeSlot = removedSlot;
        for (int i = nextSlot(freeSlot); values[i] != EMPTY_SLOT; i = nextSlot(i)) {
            int distanceFromHome = (i - homeSlot(fingerprints[i])) & (values.length - 1);
            int distanceFromFreeSlot = (i - freeSlot) & (values.length - 1);
            if (distanceFromHome >= distanceFromFreeSlot) {
                fingerprints[freeSlot] = fingerprints[i];
                values[freeSlot] = values[i];
                freeSlot = i;
            }
        }
        values[freeSlot] = EMPTY_SLOT;
        size--;
    }

    private void rebuild() {
        rebuildCount++;
        long[] oldFingerprints = fingerprints;
        int[] oldValues = values;
        int validPairs = 0;
        for (int value : oldValues) {
            if (value != EMPTY_SLOT && isValid.test(value - 1)) {
                validPairs++;
            }
        }
        int capacity = values.length;
        while ((long) (validPairs + 1) * LOAD_FACTOR_DENOMINATOR * 4 > (long) capacity * LOAD_FACTOR_NUMERATOR * 3) {
            capacity *= 2;
        }
        fingerprints = new long[capacity];
        values = new int[capacity];
        size = 0;
        for (int i = 0; i < oldValues.length; i++) {
            if (oldValues[i] != EMPTY_SLOT && isValid.test(oldValues[i] - 1)) {
                insertPair(oldFingerprints[i], oldValues[i]);
            }
        }
    }

    private int homeSlot(long fingerprint) {
        return (int) (fingerprint ^ (fingerprint >>> 32)) & (values.length - 1);
    }

    private int nextSlot(int slot) {
        return (slot + 1) & (values.length - 1);
    }
}
