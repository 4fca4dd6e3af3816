package org.yuccagw.core.shard;

import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/** The value of a shard's key: which process of which entry owns it. */
record OwnedShard(EntryId owner, long incarnation) {
    static final String PREFIX = "yuccagw/shards/";

    static String key(ShardNumber shard) {
        return PREFIX + String.format(Locale.ROOT, "%04d", shard.value());
    }

    byte[] encode() {
        return (incarnation + " " + owner.value()).getBytes(StandardCharsets.UTF_8);
    }

    static Optional<OwnedShard> decode(byte[] value) {
        List<String> fields = Splitter.on(' ').limit(2).splitToList(new String(value, StandardCharsets.UTF_8));
        try {
            return Optional.of(new OwnedShard(EntryId.of(fields.get(1)), Long.parseLong(fields.get(0))));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }
}
