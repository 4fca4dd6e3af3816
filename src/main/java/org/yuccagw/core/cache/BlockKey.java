package org.yuccagw.core.cache;

import com.google.common.hash.HashCode;

/**
 * The content key of one cache block: 128 bits of a keyed hash over the prompt up to and including the block.
 *
 * @param high first 64 bits
 * @param low last 64 bits
 */
public record BlockKey(long high, long low) implements Comparable<BlockKey> {
    private static final int HEX_RADIX = 16;
    private static final int HEX_DIGITS = 32;

    public static BlockKey of(long high, long low) {
        return new BlockKey(high, low);
    }

    /** Returns the key that consists of the first 128 bits of a hash. */
    public static BlockKey of(HashCode hash) {
        byte[] bytes = hash.asBytes();
        java.nio.ByteBuffer buffer = java.nio.ByteBuffer.wrap(bytes);
        return new BlockKey(buffer.getLong(), buffer.getLong());
    }

    /**
     * Parses a key of 32 hexadecimal digits, as written by {@link #toString}.
     *
     * @throws IllegalArgumentException if the text isn't such a key
     */
    public static BlockKey parse(String text) {
        if (text.length() != HEX_DIGITS) {
            throw new IllegalArgumentException("a block key has 32 hexadecimal digits: '" + text + "'");
        }
        return new BlockKey(
                Long.parseUnsignedLong(text.substring(0, HEX_DIGITS / 2), HEX_RADIX),
                Long.parseUnsignedLong(text.substring(HEX_DIGITS / 2), HEX_RADIX));
    }

    @Override
    public int compareTo(BlockKey other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(low, other.low);
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
