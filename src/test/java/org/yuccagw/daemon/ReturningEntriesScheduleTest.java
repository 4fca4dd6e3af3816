package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Entries that start or come back in random series of restorations, kills, cuts, pauses and outages. */
public class ReturningEntriesScheduleTest {
    private static final int SHOWN_VIOLATIONS = 5;

    @DataProvider
    public static Object[][] plays() {
        List<Object[]> cases = new ArrayList<>();
        LongStream.rangeClosed(1, 40).forEach(seed -> cases.add(new Object[] {8, seed}));
        LongStream.rangeClosed(1, 3).forEach(seed -> cases.add(new Object[] {66, seed}));
        LongStream.rangeClosed(1, 2).forEach(seed -> cases.add(new Object[] {95, seed}));
        return cases.toArray(new Object[0][]);
    }

    // Guards against entries that use endpoints which left, or an older configuration, after a start or a return.
    @Test(dataProvider = "plays")
    public void entriesInTouchFollowTheNewestStateThatWasAcknowledged(int entries, long seed) {
        ReturningEntriesPlay play = ReturningEntriesPlay.of(entries, seed);
        play.run(Duration.ofSeconds(24));
        List<String> violations = play.violations();
        assertTrue(
                violations.isEmpty(),
                violations.size() + " violations, first: "
                        + violations.stream().limit(SHOWN_VIOLATIONS).toList() + "\n"
                        + String.join("\n", play.steps()));
    }
}
