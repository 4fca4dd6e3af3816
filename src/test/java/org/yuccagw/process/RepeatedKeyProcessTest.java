package org.yuccagw.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.bench.invariant.ObservedRequest.Verdict;
import org.yuccagw.process.Callers.Request;

/** Requests that repeat an idempotency key at entries that can't ask the owner of the key's shard. */
@Test(groups = "process")
public class RepeatedKeyProcessTest {
    private static final int ENTRIES = 3;
    private static final int ANSWER_TOKENS = 150;
    private static final int TOKENS_BEFORE_CRASH = 5;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private Deployment deployment;
    private Callers callers;

    @BeforeClass(alwaysRun = true)
    public void start() throws Exception {
        deployment = Deployment.start(ENTRIES);
        callers = new Callers(deployment.http());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        if (deployment != null) {
            deployment.stop();
        }
    }

    // Guards against refusing a repeat as not run, after its run failed, while the owner of its key stands still.
    @Test
    public void aRepeatIsNotRefusedAsNotRunWhileNoOtherEntryAnswers() throws Exception {
        Request request = callers.newRequest("beta", "judge", ANSWER_TOKENS);
        StreamedCall call = callers.start(request, deployment.entry(0));
        await().atMost(TIMEOUT).until(() -> call.events().lastId() >= TOKENS_BEFORE_CRASH || call.hasEnded());
        for (StandInProcess judge : deployment.judges()) {
            judge.crash();
        }
        assertEquals(callers.record(request, call.awaitEnd()).verdict(), Verdict.UNCLEAR, callers.history(request));
        List<Verdict> repeats = new ArrayList<>();
        for (EntryProcess asked : deployment.entries()) {
            repeats.add(repeatWhileOthersStandStill(request, asked));
        }
        assertEquals(repeats, List.of(Verdict.UNCLEAR, Verdict.UNCLEAR, Verdict.UNCLEAR), callers.history(request));
    }

    private Verdict repeatWhileOthersStandStill(Request request, EntryProcess asked) throws Exception {
        List<EntryProcess> others =
                deployment.entries().stream().filter(entry -> entry != asked).toList();
        for (EntryProcess other : others) {
            other.process().suspend();
        }
        try {
            return callers.send(request, asked).verdict();
        } finally {
            for (EntryProcess other : others) {
                other.process().resume();
            }
            deployment.entries().forEach(EntryProcess::awaitReady);
        }
    }
}
