package org.yuccagw.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.QuarantineRequested.Decision;

/** An entry that was restarted decides on prompts that terminated endpoints before. */
public class QuarantineAfterRestartTest {
    private static final Duration DECISION_TIME = Duration.ofSeconds(3);
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("statistics");

    private VirtualEntries entries;
    private List<EntryId> entryIds;

    @DataProvider
    public Object[][] sizesAndDelays() {
        List<Object[]> cases = new ArrayList<>();
        for (int size : new int[] {2, 4, 8, 20, 66, 95}) {
            for (int delayMillis : new int[] {0, 1, 20, 100, 500, 4_000}) {
                cases.add(new Object[] {size, delayMillis});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    // Guards against a third termination through an entry that restarted before the others saw it dead.
    @Test(dataProvider = "sizesAndDelays")
    public void anEntryThatWasNotSeenDeadRefusesQuarantinedPrompts(int size, int delayMillis) {
        startEntries(size);
        terminateTwice(prompt(0));
        restartFirst();
        entries.tellMembers();
        entries.run(Duration.ofMillis(delayMillis));
        assertTrue(decide(entryIds.get(0), prompt(0)) instanceof Decision.Refused);
    }

    // Guards against the same while the others don't know yet that it runs again.
    @Test
    public void anEntryThatTheOthersDoNotKnowYetRefusesQuarantinedPrompts() {
        startEntries(4);
        terminateTwice(prompt(0));
        restartFirst();
        List<Decision> decisions = new ArrayList<>();
        entries.tell(entryIds.get(0), new QuarantineRequested(prompt(0), ImmutableSet.of(), decisions::add));
        entries.run(Duration.ofMillis(500));
        entries.tellMembers();
        entries.run(DECISION_TIME);
        assertTrue(decisions.get(0) instanceof Decision.Refused, decisions.toString());
    }

    @Test
    public void everyRecordReachesARestartedEntryHoweverManyThereAre() {
        startEntries(4);
        int prompts = 300;
        IntStream.range(0, prompts).forEach(number -> terminateTwice(prompt(number)));
        entries.run(DECISION_TIME);
        restartFirst();
        entries.tellMembers();
        List<Decision> decisions = new ArrayList<>();
        IntStream.range(0, prompts)
                .forEach(number -> entries.tell(
                        entryIds.get(0), new QuarantineRequested(prompt(number), ImmutableSet.of(), decisions::add)));
        entries.run(DECISION_TIME);
        assertEquals(
                decisions.stream().filter(Decision.Refused.class::isInstance).count(), prompts);
    }

    // Guards against requests that wait for ever at an entry that has nobody to ask.
    @Test
    public void anEntryThatIsAloneDecidesAfterABoundedTime() {
        startEntries(1);
        restartFirst();
        entries.tellMembers();
        assertTrue(decide(entryIds.get(0), prompt(0)) instanceof Decision.Unrestricted);
    }

    private void startEntries(int size) {
        entries = VirtualEntries.of(5, 1, QuarantineTest::components);
        entryIds = IntStream.rangeClosed(1, size)
                .mapToObj(number -> entries.start("entry-" + number))
                .toList();
        entries.own(ShardNumber.of(0), entryIds.get(size - 1));
        entries.tellMembers();
        entries.run(DECISION_TIME);
    }

    private void restartFirst() {
        entries.kill(entryIds.get(0));
        entries.run(Duration.ofMillis(500));
        entries.start(entryIds.get(0).value());
    }

    private void terminateTwice(PromptFingerprint prompt) {
        EntryId observer = entryIds.get(entryIds.size() - 1);
        entries.tell(observer, QuarantineTest.terminated(prompt, ImmutableSet.of(), "engine-1"));
        entries.tell(observer, QuarantineTest.terminated(prompt, ImmutableSet.of(), "engine-2"));
        entries.run(Duration.ofMillis(10));
    }

    private Decision decide(EntryId entry, PromptFingerprint prompt) {
        List<Decision> decisions = new ArrayList<>();
        entries.tell(entry, new QuarantineRequested(prompt, ImmutableSet.of(), decisions::add));
        entries.run(DECISION_TIME);
        assertEquals(decisions.size(), 1);
        return decisions.get(0);
    }

    private static PromptFingerprint prompt(int number) {
        return PromptFingerprint.of(WORKSPACE, ("poison-" + number).getBytes(StandardCharsets.UTF_8));
    }
}
