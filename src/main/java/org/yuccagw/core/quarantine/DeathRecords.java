package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Death;

/**
 * The terminations of endpoints that are known to one entry, by fingerprint of the prompt that ran.
 *
 * <p>A grow-only set whose elements expire, so entries can exchange it in any order, duplicated or delayed, and
 * converge to the same set. A termination is identified by endpoint and incarnation: two entries that both lost a
 * request on the same endpoint count one termination. Memory is bounded: above the maximum number of fingerprints, the
 * one whose last termination is the oldest is removed.
 */
final class DeathRecords {
    /** Number of terminations from which on a prompt is refused; no more than that are recorded for one prompt. */
    static final int MAX_DEATHS = 2;

    private static final int MAX_FINGERPRINTS = 4_096;

    private final LinkedHashMap<PromptFingerprint, Map<DeathId, Long>> deathsByFingerprint = new LinkedHashMap<>();

    private record DeathId(EndpointId endpoint, long incarnation) {}

    /** Adds a termination; returns whether it was new. */
    boolean add(Death death, long nowNanos) {
        Map<DeathId, Long> deaths =
                deathsByFingerprint.computeIfAbsent(death.fingerprint(), fingerprint -> new HashMap<>());
        DeathId id = new DeathId(death.endpoint(), death.incarnation());
        if (deaths.containsKey(id) || deaths.size() >= MAX_DEATHS) {
            return false;
        }
        deaths.put(id, nowNanos - death.age().toNanos());
        moveToNewest(death.fingerprint());
        return true;
    }

    private void moveToNewest(PromptFingerprint fingerprint) {
        Map<DeathId, Long> deaths = deathsByFingerprint.remove(fingerprint);
        deathsByFingerprint.put(fingerprint, deaths);
        if (deathsByFingerprint.size() > MAX_FINGERPRINTS) {
            deathsByFingerprint.remove(deathsByFingerprint.keySet().iterator().next());
        }
    }

    /** Returns the number of terminations that are recorded for a prompt. */
    int count(PromptFingerprint fingerprint) {
        return deathsByFingerprint.getOrDefault(fingerprint, Map.of()).size();
    }

    /** Returns the time since the last termination recorded for a prompt, which must have one. */
    Duration sinceLast(PromptFingerprint fingerprint, long nowNanos) {
        long last = deathsByFingerprint.get(fingerprint).values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElseThrow();
        return Duration.ofNanos(nowNanos - last);
    }

    /** Removes the prompts whose last termination is at least {@code age} old. */
    void expire(Duration age, long nowNanos) {
        deathsByFingerprint
                .keySet()
                .removeIf(fingerprint -> sinceLast(fingerprint, nowNanos).compareTo(age) >= 0);
    }

    /** Returns the terminations recorded for the most recent prompts, the most recent prompt first. */
    List<Death> newest(int fingerprints, long nowNanos) {
        List<PromptFingerprint> fingerprintsByAge = new ArrayList<>(deathsByFingerprint.keySet());
        List<Death> newest = new ArrayList<>();
        for (int index = fingerprintsByAge.size() - 1;
                index >= Math.max(0, fingerprintsByAge.size() - fingerprints);
                index--) {
            PromptFingerprint fingerprint = fingerprintsByAge.get(index);
            deathsByFingerprint
                    .get(fingerprint)
                    .forEach((id, nanos) -> newest.add(new Death(
                            fingerprint, id.endpoint(), id.incarnation(), Duration.ofNanos(nowNanos - nanos))));
        }
        return newest;
    }

    /** Returns the number of prompts. */
    int size() {
        return deathsByFingerprint.size();
    }
}
