package org.yuccagw.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.QuarantineRequested.PermitReturned;
import org.yuccagw.core.quarantine.QuarantineRequested.Verdict;

public class QuarantineTest {
    private static final ShardNumber SHARD = ShardNumber.of(0);
    private static final Duration SOON = Duration.ofMillis(100);
    private static final Duration SETTLED = Duration.ofSeconds(8);
    private static final PromptFingerprint POISON =
            PromptFingerprint.of(WorkspaceId.of("statistics"), "poison".getBytes(StandardCharsets.UTF_8));

    private VirtualEntries entries;
    private List<EntryId> names;

    @BeforeMethod
    public void startFourEntriesOfWhichTheLastOwnsTheShard() {
        entries = VirtualEntries.of(5, 1, (authority, shards) -> List.of(QuarantineComponent.of(authority, shards)));
        names = IntStream.rangeClosed(1, 4)
                .mapToObj(number -> entries.start("entry-" + number))
                .toList();
        entries.own(SHARD, names.get(3));
        entries.tellMembers();
        entries.run(SETTLED);
    }

    private List<Verdict> ask(EntryId entry) {
        List<Verdict> verdicts = new ArrayList<>();
        entries.tell(entry, new QuarantineRequested(POISON, verdicts::add));
        return verdicts;
    }

    private void die(EntryId seenBy, String endpoint) {
        entries.tell(seenBy, new EndpointDied(POISON, EndpointId.of(endpoint), 1, true));
    }

    private static void assertQuarantined(List<Verdict> verdicts) {
        assertEquals(verdicts.size(), 1);
        Verdict.Refused refused = (Verdict.Refused) verdicts.get(0);
        assertEquals(refused.error().kind(), ErrorKind.QUARANTINED);
    }

    // A prompt ends one endpoint. Its caller sends it again to two entries at once; together they may try it on one
    // endpoint only.
    @Test
    public void afterOneDeathThePromptRunsAloneOverAllEntries() {
        die(names.get(0), "engine-1");
        entries.run(SOON);
        List<Verdict> one = ask(names.get(1));
        List<Verdict> other = ask(names.get(2));
        entries.run(SOON);
        List<Verdict> permits = new ArrayList<>(one);
        permits.addAll(other);
        assertEquals(permits.size(), 1, "permits at once");
        EntryId holder = one.isEmpty() ? names.get(2) : names.get(1);
        entries.tell(holder, new PermitReturned(POISON, ((Verdict.Alone) permits.get(0)).permit()));
        entries.run(Duration.ofMillis(400));
        assertTrue(!one.isEmpty() && !other.isEmpty(), "the other attempt never got its turn");
        assertTrue(other.get(0) instanceof Verdict.Alone && one.get(0) instanceof Verdict.Alone);
    }

    // The prompt runs for long at one entry. An attempt at another entry isn't held back until its deadline but told
    // when to come back.
    @Test
    public void whileItRunsAloneOthersAreToldWhenToComeBack() {
        die(names.get(0), "engine-1");
        entries.run(SOON);
        ask(names.get(1));
        entries.run(SOON);
        List<Verdict> other = ask(names.get(2));
        entries.run(Duration.ofSeconds(3));
        Verdict.Refused refused = (Verdict.Refused) other.get(0);
        assertTrue(refused.error().retryAfter().isPresent());
    }

    // The second endpoint dies of it. Its caller goes on to entries that never saw the prompt.
    @Test
    public void afterTwoDeathsItIsRefusedByEveryEntryForTheQuarantineTime() {
        die(names.get(0), "engine-1");
        entries.run(SOON);
        die(names.get(1), "engine-2");
        entries.run(SOON);
        for (EntryId name : names) {
            List<Verdict> verdicts = ask(name);
            entries.run(Duration.ofMillis(1));
            assertQuarantined(verdicts);
        }
        entries.run(Duration.ofMinutes(11));
        List<Verdict> later = ask(names.get(2));
        entries.run(SOON);
        assertTrue(later.get(0) instanceof Verdict.Free);
    }

    // The entry that saw both deaths could reach one other entry only, and dies. The caller turns to the rest.
    @Test
    public void theDeathsOutliveTheEntryThatSawThem() {
        entries.cut(names.get(0), names.get(1));
        entries.cut(names.get(0), names.get(2));
        die(names.get(0), "engine-1");
        die(names.get(0), "engine-2");
        entries.run(SOON);
        entries.kill(names.get(0));
        entries.tellMembers();
        entries.run(Duration.ofSeconds(30));
        for (EntryId name : names.subList(1, 4)) {
            List<Verdict> verdicts = ask(name);
            entries.run(SOON);
            assertQuarantined(verdicts);
        }
    }

    @Test
    public void oneDeathSeenByTwoEntriesCountsOnce() {
        die(names.get(0), "engine-1");
        die(names.get(1), "engine-1");
        entries.run(SOON);
        List<Verdict> verdicts = ask(names.get(2));
        entries.run(SOON);
        assertTrue(verdicts.get(0) instanceof Verdict.Alone);
    }

    // The owner that gave the permit dies while the prompt runs alone. The next owner must not give a second one.
    @Test
    public void theNextOwnerGivesNoSecondPermitWhileTheFirstIsOut() {
        die(names.get(0), "engine-1");
        entries.run(SOON);
        ask(names.get(1));
        entries.run(SOON);
        entries.kill(names.get(3));
        entries.own(SHARD, names.get(2));
        entries.tellMembers();
        for (int second = 0; second < 20; second++) {
            List<Verdict> other = ask(names.get(0));
            entries.run(Duration.ofSeconds(3));
            assertTrue(other.get(0) instanceof Verdict.Refused, "a second permit");
        }
    }

    @Test
    public void memoryIsBoundedAndTheLatestDeathsStay() {
        DeathRecords records = new DeathRecords();
        for (int number = 0; number < 10_000; number++) {
            PromptFingerprint fingerprint = new PromptFingerprint("prompt-" + number);
            records.add(
                    new QuarantinePeerMessage.Death(fingerprint, EndpointId.of("engine-1"), number, Duration.ZERO),
                    number);
        }
        assertTrue(records.size() <= 4_096);
        assertEquals(records.count(new PromptFingerprint("prompt-9999")), 1);
    }
}
