package org.yuccagw.cli;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class IgnoredSignalsTest {
    @Test
    public void theMaskNamesTheIgnoredSignals() {
        IgnoredSignals ignored = IgnoredSignals.parse("Name:\tjava\nSigIgn:\t0000000000004001\nSigCgt:\t0002\n");
        assertTrue(ignored.contains(1));
        assertTrue(ignored.contains(15));
        assertFalse(ignored.contains(2));
    }

    @Test
    public void aStatusWithoutAMaskNamesNone() {
        assertFalse(IgnoredSignals.parse("Name:\tjava\n").contains(1));
    }
}
