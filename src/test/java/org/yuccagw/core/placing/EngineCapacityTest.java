package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class EngineCapacityTest {
    private static final long MEMORY = 100_000;
    private static final Duration SHORT = Duration.ofMillis(400);
    private static final Duration LONG = Duration.ofMillis(800);

    @Test
    public void anIdleEngineHasRoomForAnyPrompt() {
        assertTrue(EngineCapacity.hasRoom(Work.NONE, need(99_000), MEMORY, 0, LONG, SHORT, true));
    }

    // Long prompts filled an engine's memory to the last block, and the short ones that came next waited for seconds
    // until one of them ended.
    @Test
    public void longPromptsLeaveMemoryToThoseOfTheShortestTarget() {
        Work work = new Work(8, 84_000, 0);
        assertFalse(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 0, LONG, SHORT, false));
        assertTrue(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 0, SHORT, SHORT, false));
    }

    @Test
    public void aPromptGoesOnlyWhereItCanStillBeInTime() {
        Work work = new Work(1, 1_000, 1_000);
        assertTrue(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 230, SHORT, SHORT, false));
        assertFalse(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 250, SHORT, SHORT, false));
        assertFalse(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 170, LONG, SHORT, false));
    }

    @Test
    public void aLatePromptTakesOnlyWhatWouldStayIdle() {
        Work work = new Work(1, 1_000, 1_000);
        assertTrue(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 50, SHORT, SHORT, true));
        assertFalse(EngineCapacity.hasRoom(work, need(2_000), MEMORY, 70, SHORT, SHORT, true));
    }

    // Most samples under load are too slow, since something else delayed the answer.
    @Test
    public void theReadSpeedIsLearnedFromUndisturbedSamples() {
        ReadSpeed speed = new ReadSpeed();
        for (int index = 0; index < 40; index++) {
            speed.learn(6_600, index % 2 == 0 ? 100 : 400);
        }
        assertEquals(speed.tokensPerMilli(), 66, 8);
        speed.learn(100, 1);
        assertEquals(speed.tokensPerMilli(), 66, 8);
    }

    @Test
    public void fetchingGoesOnWhileTheEngineReadsWhatWasSentBefore() {
        assertEquals(new FirstToken(200, 130, 50).millis(), 250 + FirstToken.START_MILLIS);
        assertEquals(new FirstToken(20, 130, 50).millis(), 180 + FirstToken.START_MILLIS);
    }

    private static PromptNeed need(long tokens) {
        return new PromptNeed(tokens, 100, 0, 0, 0);
    }
}
