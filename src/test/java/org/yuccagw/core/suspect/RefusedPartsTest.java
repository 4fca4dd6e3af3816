package org.yuccagw.core.suspect;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class RefusedPartsTest {
    private static final SuspectPart PART = new SuspectPart("model", "5c1e");

    private final RefusedParts parts = new RefusedParts();

    // Guards against a part that stays refused because entries repeat to each other what was cleared meanwhile.
    @Test
    public void aRefusalThatBeganBeforeThePartWasClearedIsIgnored() {
        assertTrue(parts.add(refusedFor(Duration.ZERO), at(10)));
        assertTrue(parts.clear(PART, at(20)));
        assertFalse(parts.add(refusedFor(Duration.ofSeconds(11)), at(21)));
        assertTrue(parts.add(refusedFor(Duration.ofSeconds(1)), at(22)));
    }

    @Test
    public void aRefusalEndsAfterItsLongestTimeThoughPromptsStillCome() {
        parts.add(refusedFor(Duration.ZERO), 0);
        for (int minute = 1; minute < RefusedParts.MAX_AGE.toMinutes(); minute++) {
            parts.expire(at(60L * minute));
            assertTrue(parts.prolong(PART, at(60L * minute)).isPresent());
        }
        parts.expire(RefusedParts.MAX_AGE.toNanos());
        assertFalse(parts.contains(PART));
        assertTrue(parts.wasRefused(PART));
    }

    private static SuspectMessage.Refused refusedFor(Duration age) {
        return new SuspectMessage.Refused(PART, 3, age, Duration.ZERO);
    }

    private static long at(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
