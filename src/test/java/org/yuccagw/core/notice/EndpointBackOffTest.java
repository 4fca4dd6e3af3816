package org.yuccagw.core.notice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EntryId;

public class EndpointBackOffTest {
    private static final EntryId SELF = EntryId.of("self");
    private static final EntryId FIRST_PEER = EntryId.of("one");
    private static final EntryId SECOND_PEER = EntryId.of("other");
    private static final Duration DURATION = Duration.ofSeconds(3);
    private static final long SECOND = 1_000_000_000L;

    private EndpointBackOff backOff;

    @BeforeMethod
    public void createEmptyState() {
        backOff = EndpointBackOff.forEntry(SELF);
    }

    @Test
    public void theBackOffOfThisEntryEndsAfterItsDuration() {
        backOff.recordBackOff(SELF, DURATION, 0);
        assertEquals(backOff.remaining(SECOND), Duration.ofSeconds(2));
        assertEquals(backOff.remaining(3 * SECOND), Duration.ZERO);
        assertFalse(backOff.isFull(SECOND));
    }

    @Test
    public void aShorterBackOffDoesNotEndALongerOneAndALongerOneExtendsIt() {
        backOff.recordBackOff(SELF, DURATION, 0);
        backOff.recordBackOff(SELF, Duration.ofSeconds(1), SECOND);
        assertEquals(backOff.remaining(SECOND), Duration.ofSeconds(2));
        backOff.recordBackOff(SELF, DURATION, 2 * SECOND);
        assertEquals(backOff.remaining(2 * SECOND), DURATION);
    }

    @Test
    public void anEndpointThatRejectedTwoEntriesIsFull() {
        backOff.recordBackOff(FIRST_PEER, DURATION, 0);
        assertFalse(backOff.isFull(0));
        backOff.recordBackOff(SECOND_PEER, DURATION, SECOND);
        assertTrue(backOff.isFull(SECOND));
        assertEquals(backOff.remainingWhileFull(SECOND), Duration.ofSeconds(2));
        assertEquals(backOff.remaining(SECOND), Duration.ZERO);
        assertFalse(backOff.isFull(3 * SECOND));
    }

    @Test
    public void oneRequestAtATimeIsSentUntilOneIsAnswered() {
        backOff.recordBackOff(SELF, DURATION, 0);
        backOff.recordPlacement(4 * SECOND);
        assertTrue(backOff.isProbePending(4 * SECOND));
        backOff.recordUnanswered();
        assertFalse(backOff.isProbePending(4 * SECOND));
        backOff.recordPlacement(4 * SECOND);
        assertTrue(backOff.recordAnswer(4 * SECOND, 4 * SECOND));
        assertFalse(backOff.isProbePending(4 * SECOND));
    }

    // A stream that started before the back-off completes while new requests are rejected.
    @Test
    public void theAnswerToAnEarlierRequestDoesNotEndTheBackOff() {
        backOff.recordBackOff(FIRST_PEER, DURATION, 2 * SECOND);
        assertFalse(backOff.recordAnswer(SECOND, 3 * SECOND));
    }

    // A probe that is never answered must not block later requests for longer than its timeout.
    @Test
    public void anUnansweredProbeDelaysTheNextRequestOnlyBriefly() {
        backOff.recordBackOff(SELF, DURATION, 0);
        backOff.recordPlacement(4 * SECOND);
        assertFalse(backOff.isProbePending(6 * SECOND));
    }
}
