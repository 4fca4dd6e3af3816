package org.yuccagw.core.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.testng.annotations.Test;
import org.yuccagw.core.port.KeyValueRevision;

public class CoverageRecordTest {
    private static final long FIRST_ERA = KeyValueRevision.of(1, 30);
    private static final long SECOND_ERA = KeyValueRevision.of(2, 20);
    private static final long LONG_WAIT = Duration.ofSeconds(25).toNanos();

    // Guards against an entry that waited long for its first copy and counts as one that ran since then.
    @Test
    public void anEntryThatWaitedForItsFirstCopyCoversNothing() {
        CoverageRecord record = new CoverageRecord();
        record.recordFirstCopy(LONG_WAIT);
        CopyCoverage coverage = record.coverage(SECOND_ERA, LONG_WAIT + 1);
        assertFalse(coverage.isCorrected());
        assertEquals(coverage.lastOfEraBefore(SECOND_ERA), KeyValueRevision.NONE);
    }

    @Test
    public void anEntryCoversTheTimeBeforeARestorationThatItHasSeen() {
        CoverageRecord record = new CoverageRecord();
        record.recordFirstCopy(0);
        record.recordRestoration(FIRST_ERA, LONG_WAIT);
        CopyCoverage coverage = record.coverage(SECOND_ERA, LONG_WAIT + 1);
        assertEquals(coverage.lastOfEraBefore(SECOND_ERA), FIRST_ERA);
        assertFalse(coverage.isCorrected());
        assertTrue(record.coverage(SECOND_ERA, 2 * LONG_WAIT).isCorrected());
    }

    @Test
    public void anEntryPassesOnWhatItWasTold() {
        CoverageRecord record = new CoverageRecord();
        record.recordFirstCopy(0);
        record.inherit(new CopyCoverage(ImmutableList.of(FIRST_ERA), 100), 1);
        assertEquals(record.coverage(SECOND_ERA, 2).lastOfEraBefore(SECOND_ERA), FIRST_ERA);
    }
}
