package org.yuccagw.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** What a small deployment hands to the processes that tests start. */
public class SmallDeploymentTest {
    private static final int LOWEST_PORT_THE_KERNEL_CHOOSES = 32_768;

    // A test chose ports, closed them and started an entry with them. Before the entry listened, the kernel had given
    // one of them to a connection of another test: the entry ended with "Address already in use", and the test waited
    // a minute for it. Ports that the kernel never chooses by itself can't be lost that way.
    @Test
    public void portsAreNoneThatTheKernelGivesAwayAndComeOnce() throws IOException {
        Set<Integer> seen = new HashSet<>();
        for (int deployment = 0; deployment < 10; deployment++) {
            List<Integer> ports = SmallDeployment.freePorts(4);
            assertEquals(ports.size(), 4);
            for (int port : ports) {
                assertTrue(port > 1_024 && port < LOWEST_PORT_THE_KERNEL_CHOOSES, "port " + port);
                assertTrue(seen.add(port), "port " + port + " came twice");
            }
        }
    }
}
