package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * The permits to run a suspected prompt alone, at the owner of its shard: at most one for each prompt at a time.
 *
 * <p>A permit lives as long as its holder renews it. A new owner doesn't know what the one before it granted, so it
 * grants nothing until every permit of before was renewed here or has run out. What this bounds is how many
 * endpoints a prompt can end, not correctness: a holder that is cut off longer than a permit's life finishes the
 * attempt it began.
 */
final class PermitIssuer {
    /** Life of a permit since its last renewal; holders renew three times within it. */
    static final Duration LIFE = Duration.ofSeconds(6);

    private final Map<PromptFingerprint, Holder> holders = new HashMap<>();
    private final Map<ShardNumber, Long> gainedNanos = new HashMap<>();

    private record Holder(EntryId entry, long number, long untilNanos) {}

    void gained(ShardNumber shard, long nowNanos) {
        gainedNanos.put(shard, nowNanos);
    }

    void lost(ShardNumber shard) {
        gainedNanos.remove(shard);
    }

    boolean serves(ShardNumber shard) {
        return gainedNanos.containsKey(shard);
    }

    /** Grants or renews; a renewal is taken at its word also by an owner that is new. */
    boolean ask(ShardNumber shard, PromptFingerprint fingerprint, EntryId entry, long number, boolean held, long now) {
        Holder present = holders.get(fingerprint);
        boolean free = present == null || present.untilNanos() <= now;
        boolean own = !free && present.entry().equals(entry) && present.number() == number;
        boolean settled = now - gainedNanos.get(shard) >= LIFE.toNanos();
        if (own || (free && (settled || held))) {
            holders.put(fingerprint, new Holder(entry, number, now + LIFE.toNanos()));
            return true;
        }
        return false;
    }

    void giveBack(PromptFingerprint fingerprint, EntryId entry, long number) {
        Holder present = holders.get(fingerprint);
        if (present != null && present.entry().equals(entry) && present.number() == number) {
            holders.remove(fingerprint);
        }
    }

    void expire(long nowNanos) {
        holders.values().removeIf(holder -> holder.untilNanos() <= nowNanos);
    }
}
