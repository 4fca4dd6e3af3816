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
    private static final Duration MESSAGE_EXCHANGE_TIME = Duration.ofMillis(200);
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(10);

    private VirtualEntries entries;
    private KeyedCalls calls;
    private EntryId first;
    private EntryId second;
    private EntryId third;

    @BeforeMethod
    public void startThreeEntriesWithTheFirstAsShardOwner() {
        startWith(ClaimGuards.defaults());
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
        entries.run(MESSAGE_EXCHANGE_TIME);
    }

    @Test
    public void aKeyRunsOnceAndItsRetryReceivesTheRetainedAnswer() {
        calls.call(second, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(calls.runsOf("label-1"), 1);
        ClaimDecision.Answered answered =
                (ClaimDecision.Answered) retry.decision().orElseThrow();
        assertEquals(new String(answered.answer().body(), StandardCharsets.UTF_8), "answer of marker-label-1");
    }

    @Test
    public void anotherBodyUnderTheSameKeyIsRefusedAsNotRun() {
        calls.call(second, "label-1", "body");
        Attempt other = calls.call(third, "label-1", "another body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertRefused(other, ErrorKind.KEY_REUSED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // A caller receives no answer in time and retries the call on another entry while the claim request of the first
    // attempt is in transit. Both claim requests reach the owner within one commit.
    @Test
    public void theSameKeyAtTwoEntriesAtTheSameTimeRunsOnceAndTheOtherFollows() {
        Attempt one = calls.call(second, "label-1", "body");
        Attempt other = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(calls.runsOf("label-1"), 1);
        assertTrue(List.of(one.told(), other.told()).contains(Told.FOLLOWS));
    }

    // The endpoint refuses the connection, and the entry answers its caller that nothing ran. The caller retries the
    // call with the same key.
    @Test
    public void aKeyWhoseRequestWasNotSentCanBeClaimedAgain() {
        calls.endpointRefuses(true);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        calls.endpointRefuses(false);
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(refused.told(), Told.NOT_RUN);
        assertEquals(retry.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The entry fails right after the commit of its claim, before it sent the request. Its caller loses the connection
    // and retries the call on another entry, which can't determine that nothing was sent.
    @Test
    public void anEntryThatFailsBetweenCommitAndSendLeavesAnUnknownOutcomeThatNeverRuns() {
        Attempt lost = calls.call(second, "label-1", "body");
        while (lost.decision().isEmpty()) {
            entries.run(Duration.ofMillis(1));
        }
        entries.kill(second);
        entries.tellMembers();
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(RECOVERY_TIME);
        assertRefused(retry, ErrorKind.OUTCOME_UNKNOWN);
        assertEquals(calls.runsOf("label-1"), 0);
    }

    // The entry fails while the endpoint runs the request. The caller retries the call on another entry, and a second
    // time after the VM of the entry was replaced under the same name.
    @Test
    public void anEntryThatFailsBetweenSendAndAnswerLeavesAnUnknownOutcomeAndOneRun() {
        calls.runTime(RECOVERY_TIME);
        calls.call(second, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        entries.kill(second);
        entries.tellMembers();
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        second = entries.start("entry-2");
        entries.tellMembers();
        Attempt third = calls.call(second, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertRefused(retry, ErrorKind.OUTCOME_UNKNOWN);
        assertRefused(third, ErrorKind.OUTCOME_UNKNOWN);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The key-value service executes the commit, and its answer is lost. The caller waits longer than usual and
    // receives its answer.
    @Test
    public void aCommitWhoseAnswerIsLostAfterItTookEffectIsFoundAndGranted() {
        entries.keyValueFaults(firstCommit(CallFate.ANSWER_LOST));
        Attempt attempt = calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        assertEquals(attempt.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The commit and the second commit on the same revision both time out, so the request is refused as not run. Then
    // the first one takes effect. The caller retries the call with the same key, and it must run exactly once.
    @Test
    public void aCommitThatTakesEffectAfterItsTimeoutRunsNothingAndReleasesTheKey() {
        entries.keyValueFaults(
                (from, call) -> call instanceof CompareAndSwap ? CallFate.TAKEN_LATE : CallFate.ANSWERED);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(Duration.ofSeconds(3));
        assertRefused(refused, ErrorKind.CLAIM_UNAVAILABLE);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(RECOVERY_TIME);
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(RECOVERY_TIME);
        assertEquals(retry.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // A commit takes effect after its timeout, and the owner fails before it can remove the claim. The next owner finds
    // the claim in the log and queries its entry, which was never granted it.
    @Test
    public void aCommitThatTakesEffectAfterItsOwnerFailedReleasesTheKeyToo() {
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
        entries.run(RECOVERY_TIME);
        Attempt last = calls.call(third, "label-1", "body");
        entries.run(RECOVERY_TIME);
        assertEquals(last.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The owner is suspended during a batch, its lease expires, and another owner decides on the same key. The old
    // owner resumes with a local view in which it owns the shard, and continues its batch.
    @Test
    public void anOwnerThatResumesPastItsLeaseDuringABatchGrantsNothingTwice() {
        Attempt early = calls.call(third, "label-1", "body");
        entries.run(Duration.ofMillis(4));
        entries.pause(first);
        entries.run(MESSAGE_EXCHANGE_TIME);
        entries.own(SHARD, second, List.of(second, third));
        entries.run(MESSAGE_EXCHANGE_TIME);
        Attempt other = calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        entries.resume(first);
        entries.run(RECOVERY_TIME);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
        assertTrue(early.decision().isPresent() && other.decision().isPresent());
    }

    @Test
    public void twoConcurrentOwnersGrantAKeyOnce() {
        requestClaimsFromTwoOwnersAtOnce();
        assertEquals(calls.duplicates(), 0);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    @Test
    public void withoutTheExpectedRevisionTwoConcurrentOwnersGrantAKeyTwice() {
        startWith(ClaimGuards.defaults().withExpectedRevision(revision -> VirtualKeyValue.ANY_REVISION));
        requestClaimsFromTwoOwnersAtOnce();
        assertTrue(calls.duplicates() > 0, "the check does not detect the missing revision check");
    }

    // Two entries both act as the owner of the shard, since one of them was never notified that it lost the shard.
    // Callers send the same key to both at nearly the same time.
    private void requestClaimsFromTwoOwnersAtOnce() {
        entries.own(SHARD, second, List.of(second));
        entries.run(MESSAGE_EXCHANGE_TIME);
        calls.call(first, "label-1", "body");
        calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
    }

    @Test
    public void treatingALostAnswerAsACommitLetsAKeyRunTwice() {
        startWith(ClaimGuards.defaults().withConfirms(answer -> true));
        entries.keyValueFaults((from, call) -> call instanceof CompareAndSwap ? CallFate.CALL_LOST : CallFate.ANSWERED);
        calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        entries.kill(first);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(MESSAGE_EXCHANGE_TIME);
        calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertTrue(calls.duplicates() > 0, "the check does not detect an unconfirmed grant");
    }

    // The key-value service is down when the call arrives. The caller is refused at once as not run, with a time for
    // the retry, and its second attempt after the outage runs.
    @Test
    public void aClaimIsRefusedAtOnceIfTheKeyValueServiceIsDownBeforeIt() {
        entries.keyValueFaults((from, call) -> CallFate.DOWN);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertRefused(refused, ErrorKind.CLAIM_UNAVAILABLE);
        Attempt next = calls.call(second, "label-2", "body");
        entries.run(Duration.ofMillis(10));
        assertRefused(next, ErrorKind.CLAIM_UNAVAILABLE);
        assertTrue(((ClaimDecision.Refused) next.decision().orElseThrow())
                .error()
                .retryAfter()
                .isPresent());
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(RECOVERY_TIME);
        assertEquals(calls.call(second, "label-1", "body").told(), Told.NOTHING_YET);
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The key-value service goes down between the claim request and the answer to the commit, and is available again
    // after a minute.
    @Test
    public void aClaimIsRefusedCorrectlyIfTheKeyValueServiceGoesDownDuringIt() {
        entries.keyValueFaults((from, call) -> CallFate.ANSWER_LOST);
        Attempt refused = calls.call(second, "label-1", "body");
        entries.run(Duration.ofMinutes(1));
        assertEquals(refused.told(), Told.NOT_RUN);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(RECOVERY_TIME);
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(retry.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
        assertEquals(calls.liedRefusals(), 0);
    }

    // The key-value service goes down right after the grant and is unavailable past the end of the run. The caller
    // retries the call during the outage and after it.
    @Test
    public void aRunEndsAndIsNeverRepeatedIfTheKeyValueServiceGoesDownAfterItsClaim() {
        calls.call(second, "label-1", "body");
        entries.run(Duration.ofMillis(30));
        entries.keyValueFaults((from, call) -> CallFate.DOWN);
        entries.run(Duration.ofMinutes(5));
        Attempt during = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        entries.keyValueFaults(KeyValueFaults.none());
        entries.run(RECOVERY_TIME);
        Attempt after = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(calls.runsOf("label-1"), 1);
        assertTrue(during.told() != Told.NOT_RUN);
        assertEquals(after.told(), Told.ANSWERED);
    }

    // The owner fails permanently. Another entry takes over the shard with the content of the log only.
    @Test
    public void theNextOwnerRestoresTheClaimsFromTheLog() {
        calls.call(second, "label-1", "body");
        entries.run(Duration.ofSeconds(2));
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(MESSAGE_EXCHANGE_TIME);
        Attempt retry = calls.call(third, "label-1", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertEquals(retry.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    // The record of a request is past its retention, another claim causes the owner to remove it, and the caller uses
    // the key for a new request with the same body.
    @Test
    public void segmentsAreDeletedAndKeysCanRunAgainAfterTheRetention() {
        for (int number = 0; number < 600; number++) {
            calls.call(second, "label-" + number, "body");
            entries.run(Duration.ofMillis(5));
        }
        entries.run(RECOVERY_TIME);
        int segments = entries.keyValue().keys("yuccagw/claims/0/segment/");
        entries.run(Duration.ofHours(25));
        calls.call(third, "label-new", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        calls.call(third, "label-0", "body");
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertTrue(segments > 0, "no record was moved to a segment");
        assertEquals(entries.keyValue().keys("yuccagw/claims/0/segment/"), 0);
        assertEquals(calls.runsOf("label-0"), 2);
    }

    // The owner fails after it wrote a segment and before a head references it. The next owner must neither use nor
    // retain the segment.
    @Test
    public void aSegmentThatNoHeadReferencesIsDeletedByTheNextOwner() {
        calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        entries.keyValue().put("yuccagw/claims/0/segment/1-9", new byte[] {1, 2, 3});
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        entries.run(MESSAGE_EXCHANGE_TIME);
        calls.call(second, "label-2", "body");
        entries.run(RECOVERY_TIME);
        assertEquals(entries.keyValue().keys("yuccagw/claims/0/segment/"), 0);
        assertEquals(calls.runs().size(), 2);
    }

    // The head document is damaged. Claims of its shard are refused as not run until it is repaired, instead of decided
    // on an empty log.
    @Test
    public void claimsAreRefusedInsteadOfLostWhenTheHeadIsDamaged() {
        calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        entries.keyValue().put("yuccagw/claims/0/head", new byte[] {(byte) 0xff, 1, 2});
        entries.kill(first);
        entries.own(SHARD, third);
        entries.tellMembers();
        Attempt retry = calls.call(second, "label-1", "body");
        entries.run(RECOVERY_TIME);
        assertRefused(retry, ErrorKind.CLAIM_UNAVAILABLE);
        assertEquals(calls.runsOf("label-1"), 1);
    }

    @Test
    public void manyClaimsShareCommitsAndAreMovedToSegmentsAndRemainAfterTheirOwnerFails() {
        int count = 3_000;
        long writesBefore = entries.keyValue().writes();
        for (int number = 0; number < count; number++) {
            calls.call(number % 2 == 0 ? second : third, "label-" + number, "body");
            entries.run(Duration.ofMillis(1));
        }
        entries.run(RECOVERY_TIME);
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
        entries.run(RECOVERY_TIME);
        assertEquals(calls.duplicates(), 0);
        assertEquals(calls.told(Told.ANSWERED), count + count / 100);
    }

    private static KeyValueFaults firstCommit(CallFate fate) {
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
