package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Iterator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.port.BodyEnd;

/** Streams that their endpoints end before the last event is whole. */
public class BrokenStreamTest extends ForwardScenario {
    @DataProvider
    public Iterator<Object[]> ends() {
        return Arrays.stream(BodyEnd.values()).map(end -> new Object[] {end}).iterator();
    }

    // Guards against a broken stream that reaches its caller as complete because it can't be resumed elsewhere.
    @Test(dataProvider = "ends")
    public void aStreamThatEndsInsideAnEventIsAborted(BodyEnd end) {
        ForwardMachine machine = answered(false);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\nda"));
        machine.onEnd(1, end);
        assertEquals(effects.lines.get(effects.lines.size() - 1), "cut");
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN));
        assertEquals(effects.ends, 1);
    }

    // Guards against the same for a stream whose endpoint fails between its head and its first event.
    @Test
    public void aStreamThatEndsWithItsConnectionBeforeItsFirstEventIsAborted() {
        ForwardMachine machine = answered(false);
        machine.onEnd(1, BodyEnd.CONNECTION);
        assertTrue(effects.lines.contains("cut"), effects.lines.toString());
    }

    // Guards against an empty answer to a caller whose stream another endpoint can still begin.
    @Test
    public void aResumableStreamThatEndsWithItsConnectionBeforeItsFirstEventGoesOnElsewhere() {
        ForwardMachine machine = answered(true);
        machine.onEnd(1, BodyEnd.CONNECTION);
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("id: 1\ndata: a\n\n"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN, End.ANSWERED));
    }

    // Guards against a short stream whose second endpoint fails before it continues, and that looks complete.
    @Test
    public void aStreamThatIsContinuedIsNotCompleteBeforeTheNextEvent() {
        ForwardMachine machine = answered(true);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\nda"));
        machine.onEnd(1, BodyEnd.CONNECTION);
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onEnd(2, BodyEnd.CONNECTION);
        assertEquals(effects.lines.get(effects.lines.size() - 1), "cut");
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN, End.BROKEN));
    }

    @Test
    public void aStreamThatStartsAfterItsLastEventMayBeEmpty() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2, 7);
        machine.onPlacementDecision(placed("e1"));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onEnd(2, BodyEnd.CONNECTION);
        assertTrue(effects.lines.contains("end"), effects.lines.toString());
    }

    @Test(dataProvider = "ends")
    public void aStreamThatEndsAfterAWholeEventIsComplete(BodyEnd end) {
        ForwardMachine machine = answered(false);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onEnd(1, end);
        assertTrue(effects.lines.contains("end"), effects.lines.toString());
    }

    @Test
    public void aStreamWithoutEventsThatItsLastChunkEndsIsComplete() {
        ForwardMachine machine = answered(false);
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertTrue(effects.lines.contains("end"), effects.lines.toString());
    }

    @Test
    public void anErrorBodyOfAStreamEndsWithItsConnection() {
        ForwardMachine machine = begin(RouteKind.STREAM, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onBytes(1, bytes("{\"error\": 1}"));
        machine.onEnd(1, BodyEnd.CONNECTION);
        assertTrue(effects.lines.contains("end"), effects.lines.toString());
    }

    private ForwardMachine answered(boolean resumable) {
        ForwardMachine machine = begin(RouteKind.STREAM, resumable, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        return machine;
    }
}
