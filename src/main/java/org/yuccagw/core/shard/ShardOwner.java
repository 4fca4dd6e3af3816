package org.yuccagw.core.shard;

import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * The value stored under a shard's key in the key-value service: the process that owns the shard.
 *
 * <p>Example: incarnation 17 of the entry {@code entry-1} is stored as {@code 17 entry-1}.
 *
 * @param incarnation of the process of the owner
 */
record ShardOwner(EntryId owner, long incarnation) {
    static final String KEY_PREFIX = "yuccagw/shards/";

    /** Returns the key of a shard in the key-value service. */
    static String key(ShardNumber shard) {
        return KEY_PREFIX + String.format(Locale.ROOT, "%04d", shard.value());
    }

    byte[] encode() {
        return (incarnation + " " + owner.value()).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the decoded value, or nothing if it is malformed. */
    static Optional<ShardOwner> decode(byte[] value) {
        List<String> fields = Splitter.on(' ').limit(2).splitToList(new String(value, StandardCharsets.UTF_8));
        try {
            return Optional.of(new ShardOwner(EntryId.of(fields.get(1)), Long.parseLong(fields.get(0))));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }
}
