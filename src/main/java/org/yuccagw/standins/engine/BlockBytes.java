package org.yuccagw.standins.engine;

import java.util.SplittableRandom;
import org.yuccagw.core.cache.BlockKey;

/** The bytes of a block during a transfer. They are a function of its key, so that wrong bytes can be detected. */
final class BlockBytes {
    private BlockBytes() {}

    static byte[] of(BlockKey key, int length) {
        byte[] bytes = new byte[length];
        new SplittableRandom(key.high() ^ key.low()).nextBytes(bytes);
        return bytes;
    }
}
