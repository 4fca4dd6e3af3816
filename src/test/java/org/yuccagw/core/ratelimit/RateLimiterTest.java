package org.yuccagw.core.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class RateLimiterTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long STEP = SECOND / 1_000;

    private static int countConsumed(RateLimiter limiter, double perSecond, long fromNanos, long untilNanos) {
        int consumed = 0;
        for (long now = fromNanos; now < untilNanos; now += STEP) {
            if (limiter.allows(perSecond, now)) {
                limiter.consume();
                consumed++;
            }
        }
        return consumed;
    }

    @Test
    public void itStartsEmpty() {
        RateLimiter limiter = RateLimiter.startingAt(0);
        assertFalse(limiter.allows(2, 0));
        assertTrue(limiter.allows(2, SECOND));
    }

    @Test
    public void requestsAreAllowedAtTheConfiguredRate() {
        assertEquals(countConsumed(RateLimiter.startingAt(0), 2, 0, 10 * SECOND), 19, 1);
    }

    // Tokens that weren't used for an hour must not accumulate.
    @Test
    public void afterALongPauseItHoldsNoMoreThanHalfASecondOfTheRate() {
        RateLimiter limiter = RateLimiter.startingAt(0);
        assertEquals(countConsumed(limiter, 20, 3_600 * SECOND, 3_600 * SECOND + STEP * 5), 5);
        assertEquals(countConsumed(limiter, 20, 3_600 * SECOND + STEP * 5, 3_601 * SECOND), 24, 1);
    }

    @Test
    public void aTokenConsumedInAdvanceDelaysLaterCalls() {
        RateLimiter limiter = RateLimiter.startingAt(0);
        limiter.consume();
        limiter.consume();
        assertFalse(limiter.allows(1, 2 * SECOND));
        assertTrue(limiter.allows(1, 3 * SECOND));
    }
}
