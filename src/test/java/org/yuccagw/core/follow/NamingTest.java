package org.yuccagw.core.follow;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.lease.Moment;

/** Guards against a naming that is dated too late, or by a guess. */
public class NamingTest {
    private static final ModelWeights WEIGHTS = new ModelWeights("model", 2);
    private static final EntryId OTHER = EntryId.of("other");
    private static final Duration UNKNOWN = Duration.ofDays(1);

    @Test
    public void ofTwoBoundsTheLaterOneTellsMore() {
        Naming naming = new Naming(WEIGHTS, Optional.of(at(1_000)), at(5_000));
        naming.ask(at(5_000));
        naming.recordAnswer(OTHER, age(0, Optional.of(300), 0));
        assertEquals(naming.maxAge(at(5_100), UNKNOWN), Duration.ofMillis(400));
    }

    @Test
    public void anAnswerThatWaitedForLongCountsFromItsQuestion() {
        Naming naming = new Naming(WEIGHTS, Optional.empty(), at(5_000));
        naming.ask(at(5_000));
        naming.ask(at(9_000));
        naming.recordAnswer(OTHER, age(0, Optional.of(300), 0));
        assertEquals(naming.maxAge(at(9_100), UNKNOWN), Duration.ofMillis(4_400));
    }

    @Test
    public void aBoundAfterTheNamingWasKnownElsewhereIsThatOfALaterWrite() {
        Naming naming = new Naming(WEIGHTS, Optional.of(at(4_000)), at(5_000));
        naming.ask(at(5_000));
        naming.recordAnswer(OTHER, age(0, Optional.of(3_500), 3_000));
        assertEquals(naming.maxAge(at(5_000), UNKNOWN), Duration.ofMillis(3_500));
    }

    @Test
    public void anAssumptionIsNotTold() {
        Naming naming = new Naming(WEIGHTS, Optional.empty(), at(5_000));
        NamingMessage.Age answer = naming.answerTo(new NamingMessage.Question(WEIGHTS, 0), at(6_000));
        assertEquals(answer, age(0, Optional.empty(), 1_000));
        assertEquals(naming.maxAge(at(6_000), UNKNOWN), UNKNOWN);
    }

    @Test
    public void theTimeOfASuspendedVmCounts() {
        Moment before = new Moment(0, 100_000);
        Moment after = new Moment(Duration.ofSeconds(1).toNanos(), 106_000);
        assertEquals(before.until(after), Duration.ofSeconds(6));
    }

    @Test
    public void aWallClockThatIsSetBackExtendsNoLimit() {
        Moment before = new Moment(0, 100_000);
        Moment after = new Moment(Duration.ofSeconds(1).toNanos(), 90_000);
        assertEquals(before.until(after), Duration.ofSeconds(1));
    }

    private static NamingMessage.Age age(int round, Optional<Integer> maxMillis, long minMillis) {
        return new NamingMessage.Age(WEIGHTS, round, maxMillis.map(Duration::ofMillis), Duration.ofMillis(minMillis));
    }

    private static Moment at(long millis) {
        return new Moment(Duration.ofMillis(millis).toNanos(), millis);
    }
}
