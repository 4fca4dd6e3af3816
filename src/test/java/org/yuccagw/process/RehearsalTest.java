package org.yuccagw.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.Test;
import org.yuccagw.cli.GatewayMain;

public class RehearsalTest {
    private static final long TIMEOUT_SECONDS = 60;

    // The build archives the classes that a rehearsal loads. When its registrations lacked a required field, every
    // request was refused there, the classes for placing and sending were left out of the archive, and after a loss
    // of all entries each of them loaded these while callers waited.
    @Test
    public void aRehearsalPlacesRequestsLocallyAndByALeadAndExchangesRosters()
            throws IOException, InterruptedException {
        JvmProcess rehearsal = JvmProcess.start("rehearsal", GatewayMain.class, "rehearse");
        assertEquals(rehearsal.awaitExit(TIMEOUT_SECONDS), 0);
        String output = rehearsal.output();
        assertTrue(output.contains("endpoint=\"plain-1@1000\" event=\"placed\""), output);
        assertTrue(output.contains("endpoint=\"engine-1@1000\" event=\"placed\""), output);
        assertTrue(output.contains("event=\"roster-taken\""), output);
        assertTrue(output.contains("event=\"placed-by-lead\""), output);
    }
}
