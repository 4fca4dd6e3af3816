package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The parts whose prompts are refused.
 *
 * <p>A part is refused while prompts with it come, and for {@link #RETENTION} after the last one, but not for longer
 * than {@link #MAX_AGE}: the endpoints may have been mended meanwhile. After that, one more crash is enough to refuse
 * it again.
 *
 * <p>An entry that hasn't learned yet that a part was answered still tells others that it is refused. So a refusal that
 * began before the answer is ignored.
 */
final class RefusedParts {
    static final Duration RETENTION = Duration.ofMinutes(10);
    static final Duration MAX_AGE = Duration.ofMinutes(30);

    private static final int MAX_PARTS = 1_024;

    private final LinkedHashMap<SuspectPart, Refusal> refusals = new LinkedHashMap<>();
    private final LinkedHashMap<SuspectPart, Long> lapsedNanos = new LinkedHashMap<>();
    private final LinkedHashMap<SuspectPart, Long> clearedNanos = new LinkedHashMap<>();

    private static final class Refusal {
        private final long beganNanos;
        private int crashes;
        private long lastUsedNanos;

        private Refusal(int crashes, long beganNanos, long lastUsedNanos) {
            this.crashes = crashes;
            this.beganNanos = beganNanos;
            this.lastUsedNanos = lastUsedNanos;
        }
    }

    /** Adds a part; returns whether it wasn't refused before. */
    boolean add(SuspectMessage.Refused refused, long nowNanos) {
        long lastUsedNanos = nowNanos - refused.idle().toNanos();
        Refusal present = refusals.get(refused.part());
        if (present != null) {
            present.crashes = Math.max(present.crashes, refused.crashes());
            present.lastUsedNanos = Math.max(present.lastUsedNanos, lastUsedNanos);
            return false;
        }
        long beganNanos = nowNanos - refused.age().toNanos();
        boolean isOver = refused.age().compareTo(MAX_AGE) >= 0 || refused.idle().compareTo(RETENTION) >= 0;
        if (isOver || wasClearedSince(refused.part(), beganNanos)) {
            return false;
        }
        lapsedNanos.remove(refused.part());
        refusals.put(refused.part(), new Refusal(refused.crashes(), beganNanos, lastUsedNanos));
        removeOldest(refusals);
        return true;
    }

    private boolean wasClearedSince(SuspectPart part, long beganNanos) {
        Long cleared = clearedNanos.get(part);
        return cleared != null && cleared - beganNanos >= 0;
    }

    private static void removeOldest(Map<SuspectPart, ?> parts) {
        if (parts.size() > MAX_PARTS) {
            parts.remove(parts.keySet().iterator().next());
        }
    }

    boolean isEmpty() {
        return refusals.isEmpty();
    }

    boolean contains(SuspectPart part) {
        return refusals.containsKey(part);
    }

    /** Returns the number of endpoints that crashed with a part if it is refused, and prolongs its refusal. */
    Optional<Integer> prolong(SuspectPart part, long nowNanos) {
        Optional<Refusal> refusal = Optional.ofNullable(refusals.get(part));
        refusal.ifPresent(present -> present.lastUsedNanos = nowNanos);
        return refusal.map(present -> present.crashes);
    }

    /** Removes a part, since a prompt with it was answered; returns whether it was refused. */
    boolean clear(SuspectPart part, long nowNanos) {
        lapsedNanos.remove(part);
        clearedNanos.remove(part);
        clearedNanos.put(part, nowNanos);
        removeOldest(clearedNanos);
        return refusals.remove(part) != null;
    }

    /** Returns whether a part was refused until its refusal lapsed. */
    boolean wasRefused(SuspectPart part) {
        return lapsedNanos.containsKey(part);
    }

    void expire(long nowNanos) {
        refusals.forEach((part, refusal) -> {
            if (isOver(refusal, nowNanos)) {
                lapsedNanos.put(part, nowNanos);
            }
        });
        removeOldest(lapsedNanos);
        refusals.values().removeIf(refusal -> isOver(refusal, nowNanos));
        lapsedNanos.values().removeIf(lapsed -> nowNanos - lapsed > MAX_AGE.toNanos());
        clearedNanos.values().removeIf(cleared -> nowNanos - cleared > MAX_AGE.toNanos());
    }

    private static boolean isOver(Refusal refusal, long nowNanos) {
        return nowNanos - refusal.beganNanos >= MAX_AGE.toNanos()
                || nowNanos - refusal.lastUsedNanos >= RETENTION.toNanos();
    }

    /** Returns all refused parts for a message or a snapshot. */
    ImmutableList<SuspectMessage.Refused> all(long nowNanos) {
        ImmutableList.Builder<SuspectMessage.Refused> all = ImmutableList.builder();
        for (Map.Entry<SuspectPart, Refusal> each : refusals.entrySet()) {
            Refusal refusal = each.getValue();
            all.add(new SuspectMessage.Refused(
                    each.getKey(),
                    refusal.crashes,
                    Duration.ofNanos(nowNanos - refusal.beganNanos),
                    Duration.ofNanos(nowNanos - refusal.lastUsedNanos)));
        }
        return all.build();
    }
}
