package org.yuccagw.bench.local;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;

public class FreePortsTest {
    private static final int ADDRESSES = 1_000;

    // Guards against two processes of one deployment that are given the same port before either listens on it.
    @Test
    public void anAddressIsNotReturnedTwiceBeforeAnybodyListensOnIt() throws IOException {
        Set<NetworkAddress> returned = new HashSet<>();
        for (int i = 0; i < ADDRESSES; i++) {
            NetworkAddress address = FreePorts.next();
            assertTrue(returned.add(address), address + " was returned twice");
        }
    }
}
