package org.yuccagw.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

public class ProcessPauseTest {
    private static final ProcessPause PAUSE = new ProcessPause(100, 200, 30);

    @Test
    public void aPauseIsReadFromItsLine() {
        assertEquals(ProcessPause.parse("x " + PAUSE.toLine()), Optional.of(PAUSE));
        assertTrue(ProcessPause.parse("event=\"started\"").isEmpty());
    }

    @Test
    public void timeInWhichTheProcessCollectedGarbageDoesNotCount() {
        assertEquals(PAUSE.nanosWithin(0, 300), 70);
        assertEquals(PAUSE.nanosWithin(150, 300), 20);
        assertEquals(PAUSE.nanosWithin(200, 300), 0);
    }
}
