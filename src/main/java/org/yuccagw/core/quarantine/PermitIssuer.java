package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * Issues the permits to run a suspected prompt isolated: at most one for each prompt at a time. Used by the owner of
 * the prompt's shard.
 *
 * <p>A permit is valid while its holder renews it. A new owner doesn't know the permits that the previous owner
 * granted, so it grants none until each of those has been renewed here or has expired. Permits bound the number of
 * endpoints that a prompt can terminate; correctness doesn't depend on them: a holder that is disconnected for longer
 * than the lifetime of a permit completes the attempt that it started.
 */
final class PermitIssuer {
    /** Lifetime of a permit after its last renewal; holders renew three times within it. */
    static final Duration PERMIT_LIFETIME = Duration.ofSeconds(6);

    private final Map<PromptFingerprint, PermitHolder> holderByPrompt = new HashMap<>();
    private final Map<ShardNumber, Long> gainedNanos = new HashMap<>();

    private record PermitHolder(EntryId entry, long number, long expiryNanos) {}

    void shardGained(ShardNumber shard, long nowNanos) {
        gainedNanos.put(shard, nowNanos);
    }

    void shardLost(ShardNumber shard) {
        gainedNanos.remove(shard);
    }

    boolean ownsShard(ShardNumber shard) {
        return gainedNanos.containsKey(shard);
    }

    /** Grants or renews a permit. A new owner accepts a renewal without knowing the permit. */
    boolean grantOrRenew(
            ShardNumber shard, PromptFingerprint fingerprint, EntryId entry, long number, boolean renewal, long now) {
        PermitHolder present = holderByPrompt.get(fingerprint);
        boolean free = present == null || present.expiryNanos() <= now;
        boolean sameHolder = !free && present.entry().equals(entry) && present.number() == number;
        boolean earlierPermitsExpired = now - gainedNanos.get(shard) >= PERMIT_LIFETIME.toNanos();
        if (sameHolder || (free && (earlierPermitsExpired || renewal))) {
            holderByPrompt.put(fingerprint, new PermitHolder(entry, number, now + PERMIT_LIFETIME.toNanos()));
            return true;
        }
        return false;
    }

    /** Releases a permit if it is still held under this number. */
    void release(PromptFingerprint fingerprint, EntryId entry, long number) {
        PermitHolder present = holderByPrompt.get(fingerprint);
        if (present != null && present.entry().equals(entry) && present.number() == number) {
            holderByPrompt.remove(fingerprint);
        }
    }

    void expire(long nowNanos) {
        holderByPrompt.values().removeIf(holder -> holder.expiryNanos() <= nowNanos);
    }
}
