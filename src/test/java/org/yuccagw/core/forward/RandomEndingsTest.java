package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.port.BodyEnd;

/** Streams that arrive in random pieces and end at random bytes, in random ways. */
public class RandomEndingsTest extends ForwardScenario {
    private static final int RUNS = 20_000;
    private static final int MAX_EVENTS = 6;

    private final Random random = new Random(54);

    // Guards against a stream that looks complete and isn't, and against events that are missing or come twice.
    @Test
    public void aCompleteStreamHasEveryEventOnce() {
        for (int run = 0; run < RUNS; run++) {
            createEffects();
            boolean resumable = random.nextBoolean();
            int events = 1 + random.nextInt(MAX_EVENTS);
            ForwardMachine machine = begin(RouteKind.STREAM, resumable, 2);
            machine.onPlacementDecision(placed("e1"));
            boolean broken = random.nextBoolean();
            answer(machine, 1, 0, events, broken);
            boolean resumed = broken && resumable && random.nextInt(4) > 0;
            if (resumed) {
                machine.onPlacementDecision(placed("e2"));
                answer(machine, 2, sentAfter(), events, false);
            } else if (broken && resumable) {
                machine.onPlacementDecision(placed("e2"));
                machine.onHead(2, ok());
                machine.onEnd(2, BodyEnd.CONNECTION);
            }
            boolean complete = effects.lines.contains("end");
            assertEquals(complete, !broken || resumed, "run " + run + ": " + effects.lines);
            String whole = stream(0, events);
            assertTrue(whole.startsWith(effects.callerBody.toString()), "run " + run + ": " + effects.callerBody);
            assertTrue(!complete || whole.contentEquals(effects.callerBody), "run " + run + ": " + effects.callerBody);
            assertEquals(effects.ends, 1, "run " + run);
        }
    }

    /** Passes the answer of an endpoint to the machine, all of it or up to a byte inside an event. */
    private void answer(ForwardMachine machine, long leg, long after, int events, boolean broken) {
        machine.onHead(leg, ok());
        String whole = stream(after, events);
        int length = broken ? lengthInsideEvent(whole) : whole.length();
        passBytes(machine, leg, whole.substring(0, length));
        if (broken && random.nextBoolean()) {
            machine.onFailure(leg, End.BROKEN, "reset");
        } else {
            BodyEnd[] ends = BodyEnd.values();
            machine.onEnd(leg, ends[random.nextInt(ends.length)]);
        }
    }

    private int lengthInsideEvent(String whole) {
        int length = 1 + random.nextInt(whole.length() - 1);
        return whole.substring(0, length).endsWith("\n\n") ? length - 1 : length;
    }

    private void passBytes(ForwardMachine machine, long leg, String text) {
        for (int begin = 0; begin < text.length(); ) {
            int end = Math.min(text.length(), begin + 1 + random.nextInt(12));
            machine.onBytes(leg, ByteBuffer.wrap(text.substring(begin, end).getBytes(StandardCharsets.UTF_8)));
            begin = end;
        }
    }

    /** Returns the id of the event after which the second send continues, 0 for the whole stream. */
    private long sentAfter() {
        String send = effects.lines.stream()
                .filter(line -> line.startsWith("send leg 2"))
                .findFirst()
                .orElseThrow();
        return Math.max(0, Long.parseLong(send.replaceAll(".* after (-?\\d+).*", "$1")));
    }

    private static String stream(long after, int events) {
        StringBuilder text = new StringBuilder();
        for (long id = after + 1; id <= events; id++) {
            text.append("id: ").append(id).append("\ndata: word").append(id).append("\n\n");
        }
        return text.toString();
    }
}
