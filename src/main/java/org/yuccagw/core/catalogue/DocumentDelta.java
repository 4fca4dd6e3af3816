package org.yuccagw.core.catalogue;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * A binary delta between two documents: the lengths of the common prefix and suffix, a checksum of the result, and the
 * bytes in between.
 *
 * <p>An edit of one field takes the length of the change plus {@link #HEADER_BYTES}, regardless of the size of the
 * catalogue. The checksum detects a delta that is applied to another base than it was computed from, which would
 * silently corrupt the document. On a mismatch the receiver requests the full document.
 *
 * <p>Format: prefix length, suffix length and CRC-32C of the result as big-endian 32-bit integers, then the bytes that
 * replace the middle.
 */
final class DocumentDelta {
    private static final int HEADER_BYTES = 3 * Integer.BYTES;

    private DocumentDelta() {}

    /** Returns the delta from {@code base} to {@code next}. */
    static byte[] between(byte[] base, byte[] next) {
        int shorterLength = Math.min(base.length, next.length);
        int mismatch = Arrays.mismatch(base, next);
        int prefix = mismatch < 0 ? shorterLength : mismatch;
        int suffix = 0;
        while (suffix < shorterLength - prefix && base[base.length - 1 - suffix] == next[next.length - 1 - suffix]) {
            suffix++;
        }
        int middle = next.length - prefix - suffix;
        return ByteBuffer.allocate(HEADER_BYTES + middle)
                .putInt(prefix)
                .putInt(suffix)
                .putInt(checksum(next))
                .put(next, prefix, middle)
                .array();
    }

    /** Returns the result of the delta, or empty if the delta was computed from another base. */
    static Optional<byte[]> apply(byte[] base, byte[] delta) {
        if (delta.length < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.wrap(delta);
        int prefix = header.getInt();
        int suffix = header.getInt();
        int expectedChecksum = header.getInt();
        if (prefix < 0 || suffix < 0 || (long) prefix + suffix > base.length) {
            return Optional.empty();
        }
        int middle = delta.length - HEADER_BYTES;
        byte[] next = Arrays.copyOf(base, prefix + middle + suffix);
        System.arraycopy(delta, HEADER_BYTES, next, prefix, middle);
        System.arraycopy(base, base.length - suffix, next, prefix + middle, suffix);
        return checksum(next) == expectedChecksum ? Optional.of(next) : Optional.empty();
    }

    private static int checksum(byte[] document) {
        return Hashing.crc32c().hashBytes(document).asInt();
    }
}
