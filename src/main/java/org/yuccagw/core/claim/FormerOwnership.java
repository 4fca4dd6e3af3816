package org.yuccagw.core.claim;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Map;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.EntryStatus;

/**
 * When this entry lost a shard because its lease expired, and which entries were alive then.
 *
 * @param epoch fencing number of the ownership that ended
 * @param incarnations incarnations of the entries that were not dead
 */
record FormerOwnership(long epoch, long lostNanos, ImmutableMap<EntryId, Long> incarnations) {
    /** A process that stood still past its lease receives the messages about the next owner within this time. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    static FormerOwnership at(long lostNanos, long epoch, Map<EntryId, EntryStatus> members) {
        ImmutableMap.Builder<EntryId, Long> alive = ImmutableMap.builder();
        members.forEach((entry, status) -> {
            if (status.state() != EntryStatus.State.DEAD) {
                alive.put(entry, status.incarnation());
            }
        });
        return new FormerOwnership(epoch, lostNanos, alive.buildOrThrow());
    }

    /**
     * Returns whether this entry would know of another owner since the loss. An owner announces itself to all entries,
     * so it has to be connected to this one: every entry that was alive at the loss still is, as the same process.
     */
    boolean wouldKnowOfNextOwner(Map<EntryId, EntryStatus> members, long nowNanos) {
        return !incarnations.isEmpty()
                && nowNanos - lostNanos >= SETTLING_TIME.toNanos()
                && incarnations.entrySet().stream()
                        .allMatch(each -> isAlive(members.get(each.getKey()), each.getValue()));
    }

    private static boolean isAlive(EntryStatus status, long incarnation) {
        return status != null && status.state() == EntryStatus.State.ALIVE && status.incarnation() == incarnation;
    }
}
