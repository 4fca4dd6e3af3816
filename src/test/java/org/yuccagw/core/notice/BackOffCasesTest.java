package org.yuccagw.core.notice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EntryId;

public class BackOffCasesTest {
    private static final EntryId SELF = EntryId.of("self");
    private static final EntryId ONE = EntryId.of("one");
    private static final EntryId OTHER = EntryId.of("other");
    private static final Duration TIME = Duration.ofSeconds(3);
    private static final long SECOND = 1_000_000_000L;

    private EndpointBackOff backOff;

    @BeforeMethod
    public void startWithNothing() {
        backOff = EndpointBackOff.knownTo(SELF);
    }

    @Test
    public void whatIsWantedOfThisEntryEndsAfterItsTime() {
        backOff.asked(SELF, TIME, 0);
        assertEquals(backOff.left(SECOND), Duration.ofSeconds(2));
        assertEquals(backOff.left(3 * SECOND), Duration.ZERO);
        assertFalse(backOff.isFull(SECOND));
    }

    @Test
    public void aShorterTimeDoesNotEndALongerOneAndALongerOneExtendsIt() {
        backOff.asked(SELF, TIME, 0);
        backOff.asked(SELF, Duration.ofSeconds(1), SECOND);
        assertEquals(backOff.left(SECOND), Duration.ofSeconds(2));
        backOff.asked(SELF, TIME, 2 * SECOND);
        assertEquals(backOff.left(2 * SECOND), TIME);
    }

    @Test
    public void twoEntriesThatWereTurnedAwayAreASignOfNoRoom() {
        backOff.asked(ONE, TIME, 0);
        assertFalse(backOff.isFull(0));
        backOff.asked(OTHER, TIME, SECOND);
        assertTrue(backOff.isFull(SECOND));
        assertEquals(backOff.fullLeft(SECOND), Duration.ofSeconds(2));
        assertEquals(backOff.left(SECOND), Duration.ZERO);
        assertFalse(backOff.isFull(3 * SECOND));
    }

    @Test
    public void oneRequestAtATimeGoesThereUntilOneIsAnswered() {
        backOff.asked(SELF, TIME, 0);
        backOff.placed(4 * SECOND);
        assertTrue(backOff.isProbed(4 * SECOND));
        backOff.unanswered();
        assertFalse(backOff.isProbed(4 * SECOND));
        backOff.placed(4 * SECOND);
        assertTrue(backOff.answered(4 * SECOND, 4 * SECOND));
        assertFalse(backOff.isProbed(4 * SECOND));
    }

    // A stream of before goes on and ends well, while new requests are turned away.
    @Test
    public void theAnswerToARequestOfBeforeProvesNothing() {
        backOff.asked(ONE, TIME, 2 * SECOND);
        assertFalse(backOff.answered(SECOND, 3 * SECOND));
    }

    // The request that was to find out is stuck.
    @Test
    public void aRequestWithoutAnyAnswerDoesNotHoldUpTheNextOneForLong() {
        backOff.asked(SELF, TIME, 0);
        backOff.placed(4 * SECOND);
        assertFalse(backOff.isProbed(6 * SECOND));
    }
}
