package org.yuccagw.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.peer.ClaimLogProtobuf;
import org.yuccagw.bench.requests.KeyedCalls;
import org.yuccagw.bench.requests.KeyedCalls.Attempt;
import org.yuccagw.bench.requests.KeyedCalls.Told;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.bench.requests.VirtualEntries.CallFate;
import org.yuccagw.bench.requests.VirtualEntries.KeyValueFaults;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/** Requests that repeat an idempotency key while nothing can be recorded. */
public class RepeatedKeyRefusalTest {
    private static final ShardNumber SHARD = ShardNumber.of(0);
    private static final Duration LEASE = Duration.ofSeconds(10);
    private static final Duration DECISION_TIME = Duration.ofSeconds(4);
    private static final int SEEDS = 25;
    private static final int STEPS = 40;

    private VirtualEntries entries;
    private KeyedCalls calls;
    private EntryId owner;
    private EntryId second;
    private EntryId third;

    @BeforeMethod
    public void startThree() {
        startEntries(1, 3);
        owner = EntryId.of("entry-1");
        second = EntryId.of("entry-2");
        third = EntryId.of("entry-3");
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {8}, {20}, {66}, {95}};
    }

    // Guards against refusing a repeat as not run after the lease of the shard's owner expired in an outage.
    @Test
    public void aRepeatIsNotRefusedAsNotRunAfterTheLeaseExpired() {
        calls.call(second, "ran", "body");
        entries.run(DECISION_TIME);
        expireLeaseInOutage();
        Attempt repeat = callAndWait(third, "ran");
        assertEquals(repeat.told(), Told.ANSWERED);
        assertEquals(calls.runsOf("ran"), 1);
    }

    @Test
    public void aNewKeyIsRefusedAsNotRunAfterTheLeaseExpired() {
        expireLeaseInOutage();
        assertEquals(callAndWait(third, "new").told(), Told.NOT_RUN);
        assertEquals(callAndWait(owner, "newer").told(), Told.NOT_RUN);
    }

    // Guards against denying a run that another owner granted, of which the former owner could not hear.
    @Test
    public void aNewKeyIsNotRefusedAsNotRunOnceAnEntryWasLost() {
        expireLeaseInOutage();
        entries.kill(second);
        entries.tellMembers();
        assertEquals(callAndWait(third, "new").told(), Told.MAY_HAVE_RUN);
    }

    @Test
    public void aFormerOwnerDeniesNothingOnceItKnowsTheNextOwner() {
        expireLeaseInOutage();
        entries.keyValueFaults(KeyValueFaults.none());
        entries.own(SHARD, second, List.of(owner, second));
        callAndWait(second, "ran");
        assertNotEquals(callAndWait(third, "ran").told(), Told.NOT_RUN);
    }

    // Guards against refusing a repeat as not run because the owner's answer is late.
    @Test
    public void aRepeatIsNotRefusedAsNotRunIfTheOwnerCannotBeReached() {
        calls.call(second, "ran", "body");
        entries.run(DECISION_TIME);
        entries.cut(third, owner);
        assertEquals(callAndWait(third, "ran").told(), Told.MAY_HAVE_RUN);
    }

    // Guards against refusing a repeat as not run while a new owner can't read the log.
    @Test
    public void aRepeatIsNotRefusedAsNotRunIfTheNextOwnerHasNotReadTheLog() {
        calls.call(second, "ran", "body");
        entries.run(DECISION_TIME);
        entries.kill(owner);
        entries.keyValueFaults((from, call) -> CallFate.CALL_LOST);
        entries.own(SHARD, third);
        entries.tellMembers();
        assertEquals(callAndWait(second, "ran").told(), Told.MAY_HAVE_RUN);
    }

    // Guards against "not run" for a key that ran, over random outages, expired leases, cut links and pauses.
    @Test(dataProvider = "sizes")
    public void noRefusalDeniesARunOfItsKey(int size) {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            startEntries(seed, size);
            new Schedule(seed).play();
            for (Attempt attempt : calls.refusalsThatDenyARun()) {
                broken.add("seed " + seed + ": attempt " + attempt.number() + " of " + attempt.key());
            }
            assertEquals(calls.duplicates(), 0, "seed " + seed);
        }
        assertTrue(
                broken.isEmpty(),
                broken.size() + " refusals, first: " + broken.stream().findFirst());
    }

    private void startEntries(long seed, int size) {
        entries = VirtualEntries.of(
                seed, 1, (authority, shards) -> List.of(ClaimComponent.of(authority, shards, ClaimLogProtobuf.of())));
        for (int number = 1; number <= size; number++) {
            entries.start("entry-" + number);
        }
        entries.tellMembers();
        entries.own(SHARD, EntryId.of("entry-1"));
        entries.run(Duration.ofSeconds(1));
        calls = KeyedCalls.over(entries);
    }

    private void expireLeaseInOutage() {
        entries.keyValueFaults((from, call) -> CallFate.DOWN);
        entries.run(LEASE);
        entries.loseLease(SHARD, owner);
        entries.run(Duration.ofSeconds(2));
    }

    private Attempt callAndWait(EntryId entry, String key) {
        Attempt attempt = calls.call(entry, key, "body");
        entries.run(DECISION_TIME);
        return attempt;
    }

    /** Calls with new and repeated keys between faults, as a seed draws them. */
    private final class Schedule {
        private final SplittableRandom random;
        private EntryId holder = EntryId.of("entry-1");
        private int keys;

        private Schedule(long seed) {
            random = new SplittableRandom(seed);
        }

        private void play() {
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(9)) {
                    case 0 -> entries.keyValueFaults((from, call) -> CallFate.DOWN);
                    case 1 -> entries.keyValueFaults(KeyValueFaults.none());
                    case 2 -> entries.keyValueFaults(this::randomFate);
                    case 3 -> expireLease();
                    case 4 -> moveOwner();
                    case 5 -> entries.cut(anyEntry(), anyEntry());
                    case 6 -> pauseOwner();
                    default -> entries.mend();
                }
                callSome();
                entries.run(Duration.ofMillis(random.nextLong(3_000)));
            }
        }

        private CallFate randomFate(EntryId from, Object call) {
            CallFate[] fates = CallFate.values();
            return fates[random.nextInt(fates.length)];
        }

        private void callSome() {
            for (int i = 0; i < 3; i++) {
                boolean repeat = keys > 0 && random.nextBoolean();
                int key = repeat ? random.nextInt(keys) : keys++;
                calls.call(anyEntry(), "key-" + key, "body");
                entries.run(Duration.ofMillis(random.nextLong(300)));
            }
        }

        private void expireLease() {
            entries.loseLease(SHARD, holder);
            entries.run(Duration.ofMillis(random.nextLong(4_000)));
        }

        /** The owner stands still until another entry has taken its place and decided, and then continues. */
        private void pauseOwner() {
            EntryId paused = holder;
            entries.pause(paused);
            entries.run(LEASE);
            moveOwner();
            callSome();
            entries.resume(paused);
            callSome();
        }

        /** Another entry becomes the owner once the key-value service is back and the lease has expired there too. */
        private void moveOwner() {
            entries.loseLease(SHARD, holder);
            entries.keyValueFaults(KeyValueFaults.none());
            entries.run(Duration.ofSeconds(2));
            holder = anyEntry();
            entries.own(SHARD, holder);
        }

        private EntryId anyEntry() {
            List<EntryId> names = entries.names();
            return names.get(random.nextInt(names.size()));
        }
    }
}
