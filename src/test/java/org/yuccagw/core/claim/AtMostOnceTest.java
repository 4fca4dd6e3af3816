package org.yuccagw.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.bench.requests.KeyedCalls;
import org.yuccagw.bench.requests.KeyedCalls.Attempt;
import org.yuccagw.bench.requests.KeyedCalls.Told;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.bench.requests.VirtualEntries.CallFate;
import org.yuccagw.bench.requests.VirtualEntries.KeyValueFaults;
import org.yuccagw.bench.requests.VirtualKeyValue;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.KeyValueCall.CompareAndSwap;

public class AtMostOnceTest {
    private static final ShardNumber SHARD = ShardNumber.of(0);
    private static final Duration SOON = Duration.ofMillis(200);
    private static final Duration LONG = Duration.ofSeconds(10);

    private VirtualEntries entries;
    private KeyedCalls calls;
    private EntryId first;
    private EntryId second;
    private EntryId third;

    @BeforeMethod
    public void startThreeEntriesOfWhichTheFirstOwnsTheShard() {
        startWith(ClaimGuards.usual());
    }

    private void startWith(ClaimGuards guards) {
        entries = VirtualEntries.of(
                7,
                1,
                (authority, shards) ->
                        List.of(ClaimComponent.withGuards(authority, shards, ClaimLogProtobuf.of(), guards)));
        calls = KeyedCalls.over(entries);
        first = entries.start("entry-1");
        second = entries.start("entry-2");
        third = entries.start("entry-3");
        entries.own(SHARD, first);
        entries.tellMembers();
        entries.run(SOON);
    }

    @Test
    public void aKeyRunsOnceAndItsRepetitionGetsTheKeptAnswer() {
        calls.call(second, "label-1", "body");
        entries.run(SOON);
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(calls.runsOf("label-1"), 1);
        ClaimDecision.Answered answered =
                (ClaimDecision.Answered) again.decision().orElseThrow();
        assertEquals(new String(answered.answer().body(), StandardCharsets.UTF_8), "answer of marker-label-1");
    }

    @Test
    public void anotherBodyUnderTheSameKeyIsRefusedAsNotRun() {
        calls.call(second, "label-1", "body");
        Attempt other = calls.call(third, "label-1", "another body");
        entries.run(SOON);
        assertRefused(other, ErrorKind.KEY_REUSED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // A caller gets no answer in time and sends the call again to another entry, while the first attempt's claim is
    // on its way. Both asks reach the owner within one commit.
    @Test
    public void theSameKeyAtTwoEntriesAtTheSameTimeRunsOnceAndTheOtherFollows() {
        Attempt one = calls.call(second, "label-1", "body");
        Attempt other = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(calls.runsOf("label-1"), 1);
        assertTrue(List.of(one.told(), other.told()).contains(Told.FOLLOWS));
    }

    // The entry refuses the connection to the endpoint and tells its caller "not run". The caller believes it and
    // sends the call again under the same key.
    @Test
    public void aKeyWhoseRequestWasNotSentCanBeClaimedAgain() {
        calls.endpointRefuses(true);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(LONG);
        calls.endpointRefuses(false);
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(refused.told(), Told.NOT_RUN);
        assertEquals(again.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The entry dies right after the commit of its claim, before it sent the request. Its caller sees the connection
    // end and sends the call again elsewhere. Nobody can know that nothing was sent.
    @Test
    public void anEntryThatDiesBetweenCommitAndSendLeavesAnUnknownOutcomeThatNeverRuns() {
        Attempt lost = calls.call(second, "label-1", "body");
        while (lost.decision().isEmpty()) {
            entries.run(Duration.ofMillis(1));
        }
        entries.kill(second);
        entries.tellMembers();
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(LONG);
        assertRefused(again, ErrorKind.OUTCOME_UNKNOWN);
        assertEquals(calls.runsOf("label-1"), 0);
    }

    // The entry dies while the endpoint works. The caller sends the call again elsewhere, and a third time after the
    // entry's VM was replaced under the same name.
    @Test
    public void anEntryThatDiesBetweenSendAndAnswerLeavesAnUnknownOutcomeAndOneRun() {
        calls.runTime(LONG);
        calls.call(second, "label-1", "body");
        entries.run(SOON);
        entries.kill(second);
        entries.tellMembers();
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(SOON);
        second = entries.start("entry-2");
        entries.tellMembers();
        Attempt third = calls.call(second, "label-1", "body");
        entries.run(SOON);
        assertRefused(again, ErrorKind.OUTCOME_UNKNOWN);
        assertRefused(third, ErrorKind.OUTCOME_UNKNOWN);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The key-value service takes the commit, and its answer is lost on the way back. The caller waits a little
    // longer and gets its answer.
    @Test
    public void aCommitWhoseAnswerIsLostAfterItTookEffectIsFoundAndGranted() {
        entries.keyValueFaults(once(CallFate.ANSWER_LOST));
        Attempt attempt = calls.call(second, "label-1", "body");
        entries.run(LONG);
        assertEquals(attempt.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The commit and the one that should settle it both time out, so the caller is told "not run". Then the first one
    // lands after all. The caller sends the call again under the same key and must get its one run.
    @Test
    public void aCommitThatLandsAfterItsTimeoutRunsNothingAndFreesTheKey() {
        entries.keyValueFaults(
                (from, call) -> call instanceof CompareAndSwap ? CallFate.TAKEN_LATE : CallFate.ANSWERED);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(Duration.ofSeconds(3));
        assertRefused(refused, ErrorKind.CLAIM_UNAVAILABLE);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(LONG);
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(LONG);
        assertEquals(again.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // As before, but the owner dies before it can take the late claim out, and the next owner finds it in the log. It
    // asks the entry, which never got the grant.
    @Test
    public void aCommitThatLandsAfterItsOwnersDeathFreesTheKeyToo() {
        entries.keyValueFaults(
                (from, call) -> call instanceof CompareAndSwap ? CallFate.TAKEN_LATE : CallFate.ANSWERED);
        calls.call(second, "label-1", "body");
        entries.run(Duration.ofMillis(1500));
        entries.kill(first);
        entries.run(Duration.ofSeconds(3));
        entries.keyValueFaults(KeyValueFaults.none());
        entries.own(SHARD, third);
        entries.tellMembers();
        calls.call(third, "label-1", "body");
        entries.run(LONG);
        Attempt last = calls.call(third, "label-1", "body");
        entries.run(LONG);
        assertEquals(last.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The owner's process stands still with a batch in its hands, its lease lapses, and another owner decides the
    // same key. The old owner wakes, still believing that it holds the shard, and goes on with its batch.
    @Test
    public void anOwnerThatWakesPastItsLeaseInTheMiddleOfABatchGrantsNothingTwice() {
        Attempt early = calls.call(third, "label-1", "body");
        entries.run(Duration.ofMillis(4));
        entries.pause(first);
        entries.run(SOON);
        entries.own(SHARD, second, List.of(second, third));
        entries.run(SOON);
        Attempt other = calls.call(second, "label-1", "body");
        entries.run(LONG);
        entries.resume(first);
        entries.run(LONG);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
        assertTrue(early.decision().isPresent() && other.decision().isPresent());
    }

    @Test
    public void twoOwnersAtOnceGrantAKeyOnce() {
        askTwoOwnersAtOnce();
        assertEquals(calls.duplicates(), 0);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    @Test
    public void withoutTheExpectedRevisionTwoOwnersGrantAKeyTwice() {
        startWith(ClaimGuards.usual().withExpectedRevision(revision -> VirtualKeyValue.ANY_REVISION));
        askTwoOwnersAtOnce();
        assertTrue(calls.duplicates() > 0, "the check can't see a missing fence");
    }

    // Two entries both believe that they own the shard, since one never heard that it lost it. Callers send one key
    // to both within moments.
    private void askTwoOwnersAtOnce() {
        entries.own(SHARD, second, List.of(second));
        entries.run(SOON);
        calls.call(first, "label-1", "body");
        calls.call(second, "label-1", "body");
        entries.run(LONG);
    }

    @Test
    public void takingALostAnswerForACommitLetsAKeyRunTwice() {
        startWith(ClaimGuards.usual().withConfirms(answer -> true));
        entries.keyValueFaults((from, call) -> call instanceof CompareAndSwap ? CallFate.CALL_LOST : CallFate.ANSWERED);
        calls.call(second, "label-1", "body");
        entries.run(LONG);
        entries.kill(first);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(SOON);
        calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertTrue(calls.duplicates() > 0, "the check can't see an unconfirmed grant");
    }

    // The key-value service is down when the call comes. The caller hears at once that nothing ran and when to come
    // back, and its second try after the outage runs.
    @Test
    public void withTheKeyValueServiceDownBeforeAClaimItIsRefusedAtOnce() {
        entries.keyValueFaults((from, call) -> CallFate.DOWN);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(SOON);
        assertRefused(refused, ErrorKind.CLAIM_UNAVAILABLE);
        Attempt next = calls.call(second, "label-2", "body");
        entries.run(Duration.ofMillis(10));
        assertRefused(next, ErrorKind.CLAIM_UNAVAILABLE);
        assertTrue(((ClaimDecision.Refused) next.decision().orElseThrow())
                .error()
                .retryAfter()
                .isPresent());
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(LONG);
        assertEquals(calls.call(second, "label-1", "body").told(), Told.NOTHING_YET);
        entries.run(SOON);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The service goes down between the ask and the commit's answer, and comes back after a minute.
    @Test
    public void withTheServiceDownInTheMiddleOfAClaimTheRefusalIsTrue() {
        entries.keyValueFaults((from, call) -> CallFate.ANSWER_LOST);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(Duration.ofMinutes(1));
        assertEquals(refused.told(), Told.NOT_RUN);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(LONG);
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(again.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The service goes down right after the grant and stays away past the end of the run. The caller asks again
    // during the outage, and after it.
    @Test
    public void withTheServiceDownAfterAClaimTheRunEndsAndIsNeverRepeated() {
        calls.call(second, "label-1", "body");
        entries.run(Duration.ofMillis(30));
        entries.keyValueFaults((from, call) -> CallFate.DOWN);
        entries.run(Duration.ofMinutes(5));
        Attempt during = calls.call(third, "label-1", "body");
        entries.run(SOON);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(LONG);
        Attempt after = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(calls.runsOf("label-1"), 1);
        assertTrue(during.told() != Told.NOT_RUN);
        assertEquals(after.told(), Told.ANSWERED);
    }

    // The owner dies for good. Another entry takes the shard over from the log alone.
    @Test
    public void theNextOwnerKnowsWhatTheLogHolds() {
        calls.call(second, "label-1", "body");
        entries.run(Duration.ofSeconds(2));
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(SOON);
        Attempt again = calls.call(third, "label-1", "body");
        entries.run(SOON);
        assertEquals(again.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The record of a request is past its retention, another claim makes the owner tidy up, and the caller uses the
    // key for a new request of the same body.
    @Test
    public void afterTheRetentionTheSegmentsAreDeletedAndAKeyIsNew() {
        for (int number = 0; number < 600; number++) {
            calls.call(second, "label-" + number, "body");
            entries.run(Duration.ofMillis(5));
        }
        entries.run(LONG);
        int segments = entries.keyValue().keys("yuccagw/claims/0/segment/");
        entries.run(Duration.ofHours(25));
        calls.call(third, "label-new", "body");
        entries.run(SOON);
        calls.call(third, "label-0", "body");
        entries.run(SOON);
        assertTrue(segments > 0, "nothing was rolled");
        assertEquals(entries.keyValue().keys("yuccagw/claims/0/segment/"), 0);
        assertEquals(calls.runsOf("label-0"), 2);
    }

    // The owner dies after it wrote a segment and before a head names it. The next owner must neither trust nor keep
    // it.
    @Test
    public void aSegmentThatNoHeadNamesIsDeletedByTheNextOwner() {
        calls.call(second, "label-1", "body");
        entries.run(LONG);
        entries.keyValue().put("yuccagw/claims/0/segment/1-9", new byte[] {1, 2, 3});
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(SOON);
        calls.call(second, "label-2", "body");
        entries.run(LONG);
        assertEquals(entries.keyValue().keys("yuccagw/claims/0/segment/"), 0);
        assertEquals(calls.runs().size(), 2);
    }

    // Someone damages the head document. Claims of its shard are refused as not run until it is repaired, rather than
    // decided from an empty log.
    @Test
    public void aDamagedHeadRefusesClaimsInsteadOfForgettingThem() {
        calls.call(second, "label-1", "body");
        entries.run(LONG);
        entries.keyValue().put("yuccagw/claims/0/head", new byte[] {(byte) 0xff, 1, 2});
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        Attempt again = calls.call(second, "label-1", "body");
        entries.run(LONG);
        assertRefused(again, ErrorKind.CLAIM_UNAVAILABLE);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    @Test
    public void manyClaimsShareCommitsRollIntoSegmentsAndOutliveTheirOwner() {
        int count = 3_000;
        long writesBefore = entries.keyValue().writes();
        for (int number = 0; number < count; number++) {
            calls.call(number % 2 == 0 ? second : third, "label-" + number, "body");
            entries.run(Duration.ofMillis(1));
        }
        entries.run(LONG);
        assertEquals(calls.runs().size(), count);
        long writesPerThousand = (entries.keyValue().writes() - writesBefore) * 1_000 / count;
        assertTrue(writesPerThousand <= 250, "writes for a thousand claims: " + writesPerThousand);
        assertTrue(entries.keyValue().largestValue() < 512 * 1024);
        entries.kill(first);
        entries.own(SHARD, second);
        entries.tellMembers();
        for (int number = 0; number < count; number += 100) {
            calls.call(third, "label-" + number, "body");
        }
        entries.run(LONG);
        assertEquals(calls.duplicates(), 0);
        assertEquals(calls.told(Told.ANSWERED), count + count / 100);
    }

    private static KeyValueFaults once(CallFate fate) {
        boolean[] done = {false};
        return (from, call) -> {
            boolean hit = !done[0] && call instanceof CompareAndSwap;
            done[0] |= hit;
            return hit ? fate : CallFate.ANSWERED;
        };
    }

    private static void assertRefused(Attempt attempt, ErrorKind kind) {
        ClaimDecision.Refused refused =
                (ClaimDecision.Refused) attempt.decision().orElseThrow();
        assertEquals(refused.error().kind(), kind);
    }
}
