package org.yuccagw.core.id;

/**
 * The number of a shard. The ownership of claims, limits and orders is distributed over a fixed number of shards.
 *
 * @param value from 0 (inclusive) to the number of shards in the catalogue (exclusive)
 */
public record ShardNumber(int value) implements Comparable<ShardNumber> {
    public ShardNumber {
        if (value < 0) {
            throw new IllegalArgumentException("a shard number must not be negative: " + value);
        }
    }

    public static ShardNumber of(int value) {
        return new ShardNumber(value);
    }

    @Override
    public int compareTo(ShardNumber other) {
        return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
        return "shard-" + value;
    }
}
