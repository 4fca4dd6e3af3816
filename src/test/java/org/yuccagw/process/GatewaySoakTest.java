package org.yuccagw.process;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Entries on the users' platform as separate processes, under load and a seeded schedule of faults and planned changes.
 *
 * <p>{@code -Dsoak.seed}, {@code -Dsoak.seeds}, {@code -Dsoak.seconds} and {@code -Dsoak.entries} select the first
 * seed, the number of seeds, the duration of each and the number of entries.
 */
@Test(groups = "process")
public class GatewaySoakTest {
    private static final long FIRST_SEED = Long.getLong("soak.seed", 20_261_203);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 1);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 40);
    private static final int ENTRIES = Integer.getInteger("soak.entries", 2);
    private static final int SHOWN_VIOLATIONS = 10;

    @DataProvider
    public Iterator<Object[]> seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .mapToObj(seed -> new Object[] {seed})
                .iterator();
    }

    // Entries gave up requests at which silent endpoints still worked, and had nothing to put in their place.
    @Test(dataProvider = "seeds")
    public void requestsThatEntriesReadAreAnsweredUnderFaultsAndPlannedChanges(long seed) throws Exception {
        SoakDeployment deployment = SoakDeployment.start(seed, ENTRIES);
        SoakChecks checks;
        try {
            deployment.run(SECONDS);
            checks = SoakChecks.of(deployment);
        } finally {
            deployment.stop();
        }
        List<String> lines = new ArrayList<>(deployment.trace());
        lines.add("outcomes " + checks.outcomes());
        lines.addAll(deployment.pauseLines());
        lines.addAll(checks.pauses());
        lines.addAll(checks.violations());
        Path file = Files.write(JvmProcess.directory().resolve("soak-" + seed + ".txt"), lines);
        List<String> shown =
                checks.violations().stream().limit(SHOWN_VIOLATIONS).toList();
        assertTrue(
                shown.isEmpty(),
                checks.violations().size() + " violations with seed " + seed + ", see " + file + ":\n"
                        + String.join("\n", shown));
    }
}
