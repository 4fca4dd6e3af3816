package org.yuccagw.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the ports that a small deployment assigns to the processes of tests. */
public class SmallDeploymentTest {
    private static final int LOWEST_EPHEMERAL_PORT = 32_768;

    // Guards against ephemeral ports: a test opened and closed ports and started an entry with them. Before the entry
    // listened, the kernel assigned one of them to a connection of another test. The entry failed with "Address already
    // in use", and the test waited a minute for it. Ports below the ephemeral range can't be lost this way.
    @Test
    public void freePortsAreBelowTheEphemeralRangeAndUnique() throws IOException {
        Set<Integer> seen = new HashSet<>();
        for (int deployment = 0; deployment < 10; deployment++) {
            List<Integer> ports = SmallDeployment.freePorts(4);
            assertEquals(ports.size(), 4);
            for (int port : ports) {
                assertTrue(port > 1_024 && port < LOWEST_EPHEMERAL_PORT, "port " + port);
                assertTrue(seen.add(port), "port " + port + " was returned twice");
            }
        }
    }
}
