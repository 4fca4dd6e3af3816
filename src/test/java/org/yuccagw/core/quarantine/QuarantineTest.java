package org.yuccagw.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.QuarantineRequested.Decision;
import org.yuccagw.core.quarantine.QuarantineRequested.PermitReturned;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardsSnapshot;
import org.yuccagw.core.suspect.AllMembers;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.core.suspect.SuspectPartsComponent;

public class QuarantineTest {
    private static final ShardNumber SHARD = ShardNumber.of(0);
    private static final Duration MESSAGE_EXCHANGE_TIME = Duration.ofMillis(100);
    private static final Duration EARLIER_PERMITS_EXPIRY = Duration.ofSeconds(8);
    private static final PromptFingerprint PROMPT =
            PromptFingerprint.of(WorkspaceId.of("statistics"), "poison".getBytes(StandardCharsets.UTF_8));

    private VirtualEntries entries;
    private List<EntryId> entryIds;

    @BeforeMethod
    public void startFourEntriesWithTheLastAsShardOwner() {
        entries = VirtualEntries.of(5, 1, QuarantineTest::components);
        entryIds = IntStream.rangeClosed(1, 4)
                .mapToObj(number -> entries.start("entry-" + number))
                .toList();
        entries.own(SHARD, entryIds.get(3));
        entries.tellMembers();
        entries.run(EARLIER_PERMITS_EXPIRY);
    }

    /** Returns the components of one entry that decide on suspected prompts. */
    static List<ControlComponent> components(ShardAuthority authority, Supplier<ShardsSnapshot> shards) {
        AllMembers members = AllMembers.create();
        SuspectPartsComponent parts = SuspectPartsComponent.of(members);
        return List.of(members, parts, QuarantineComponent.of(authority, shards, parts));
    }

    static EndpointTerminated terminated(PromptFingerprint prompt, ImmutableSet<SuspectPart> parts, String endpoint) {
        EndpointIncarnation start = EndpointIncarnation.of(EndpointId.of(endpoint), 1);
        return new EndpointTerminated(prompt, parts, start, Duration.ofMillis(50));
    }

    private List<Decision> requestDecision(EntryId entry) {
        List<Decision> decisions = new ArrayList<>();
        entries.tell(entry, new QuarantineRequested(PROMPT, ImmutableSet.of(), decisions::add));
        return decisions;
    }

    private void reportTermination(EntryId observer, String endpoint) {
        entries.tell(observer, terminated(PROMPT, ImmutableSet.of(), endpoint));
    }

    private static void assertQuarantined(List<Decision> decisions) {
        assertEquals(decisions.size(), 1);
        Decision.Refused refused = (Decision.Refused) decisions.get(0);
        assertEquals(refused.error().kind(), ErrorKind.QUARANTINED);
    }

    // A prompt terminates one endpoint, and its caller retries it on two entries at once. Without coordination between
    // the entries it would run on two endpoints at the same time and could terminate both.
    @Test
    public void afterOneTerminationThePromptRunsIsolatedAcrossAllEntries() {
        reportTermination(entryIds.get(0), "engine-1");
        entries.run(MESSAGE_EXCHANGE_TIME);
        List<Decision> one = requestDecision(entryIds.get(1));
        List<Decision> other = requestDecision(entryIds.get(2));
        entries.run(MESSAGE_EXCHANGE_TIME);
        List<Decision> permits = new ArrayList<>(one);
        permits.addAll(other);
        assertEquals(permits.size(), 1, "permits at once");
        EntryId holder = one.isEmpty() ? entryIds.get(2) : entryIds.get(1);
        entries.tell(holder, new PermitReturned(PROMPT, ((Decision.Isolated) permits.get(0)).permit()));
        entries.run(Duration.ofMillis(400));
        assertTrue(!one.isEmpty() && !other.isEmpty(), "the other attempt was never granted the permit");
        assertTrue(other.get(0) instanceof Decision.Isolated && one.get(0) instanceof Decision.Isolated);
    }

    // The prompt runs for a long time through one entry. An attempt on another entry must not wait until its deadline
    // but be refused with a time for the retry.
    @Test
    public void anAttemptDuringAnIsolatedRunIsRefusedWithARetryTime() {
        reportTermination(entryIds.get(0), "engine-1");
        entries.run(MESSAGE_EXCHANGE_TIME);
        requestDecision(entryIds.get(1));
        entries.run(MESSAGE_EXCHANGE_TIME);
        List<Decision> other = requestDecision(entryIds.get(2));
        entries.run(Duration.ofSeconds(3));
        Decision.Refused refused = (Decision.Refused) other.get(0);
        assertTrue(refused.error().retryAfter().isPresent());
    }

    // The prompt terminates a second endpoint, and its caller then sends it to entries that have not received it
    // before.
    @Test
    public void afterTwoTerminationsThePromptIsRefusedByEveryEntryForTheQuarantineTime() {
        reportTermination(entryIds.get(0), "engine-1");
        entries.run(MESSAGE_EXCHANGE_TIME);
        reportTermination(entryIds.get(1), "engine-2");
        entries.run(MESSAGE_EXCHANGE_TIME);
        for (EntryId entry : entryIds) {
            List<Decision> decisions = requestDecision(entry);
            entries.run(Duration.ofMillis(1));
            assertQuarantined(decisions);
        }
        entries.run(Duration.ofMinutes(11));
        List<Decision> later = requestDecision(entryIds.get(2));
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertTrue(later.get(0) instanceof Decision.Unrestricted);
    }

    // The entry that observed both terminations could reach only one other entry before it failed. The caller then
    // sends the prompt to the remaining entries.
    @Test
    public void recordedTerminationsRemainAfterTheEntryThatObservedThemFails() {
        entries.cut(entryIds.get(0), entryIds.get(1));
        entries.cut(entryIds.get(0), entryIds.get(2));
        reportTermination(entryIds.get(0), "engine-1");
        reportTermination(entryIds.get(0), "engine-2");
        entries.run(MESSAGE_EXCHANGE_TIME);
        entries.kill(entryIds.get(0));
        entries.tellMembers();
        entries.run(Duration.ofSeconds(30));
        for (EntryId entry : entryIds.subList(1, 4)) {
            List<Decision> decisions = requestDecision(entry);
            entries.run(MESSAGE_EXCHANGE_TIME);
            assertQuarantined(decisions);
        }
    }

    @Test
    public void oneTerminationObservedByTwoEntriesCountsOnce() {
        reportTermination(entryIds.get(0), "engine-1");
        reportTermination(entryIds.get(1), "engine-1");
        entries.run(MESSAGE_EXCHANGE_TIME);
        List<Decision> decisions = requestDecision(entryIds.get(2));
        entries.run(MESSAGE_EXCHANGE_TIME);
        assertTrue(decisions.get(0) instanceof Decision.Isolated);
    }

    // The owner that granted the permit fails while the prompt runs isolated. The next owner must not grant a second
    // one.
    @Test
    public void theNextOwnerGrantsNoSecondPermitWhileTheFirstIsHeld() {
        reportTermination(entryIds.get(0), "engine-1");
        entries.run(MESSAGE_EXCHANGE_TIME);
        requestDecision(entryIds.get(1));
        entries.run(MESSAGE_EXCHANGE_TIME);
        entries.kill(entryIds.get(3));
        entries.own(SHARD, entryIds.get(2));
        entries.tellMembers();
        for (int second = 0; second < 20; second++) {
            List<Decision> other = requestDecision(entryIds.get(0));
            entries.run(Duration.ofSeconds(3));
            assertTrue(other.get(0) instanceof Decision.Refused, "a second permit");
        }
    }

    @Test
    public void memoryIsBoundedAndTheLatestTerminationsAreRetained() {
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
