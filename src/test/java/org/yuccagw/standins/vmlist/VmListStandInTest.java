package org.yuccagw.standins.vmlist;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.yuccagw.standins.http.TestCaller.json;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.http.TestCaller;

public class VmListStandInTest {
    private static final VmRow ROW =
            VmRow.live("endpoint", "engine-1", "assistants", "kadaka", NetworkAddress.parse("127.0.0.1:7"));

    @Test
    public void aListThatIsSetBecomesVisibleAfterTheLag() throws Exception {
        VmListStandIn standIn = VmListStandIn.start(0, 0);
        TestCaller caller = TestCaller.to(standIn.address());
        standIn.set(List.of(ROW));
        assertEquals(states(caller), List.of("live"));
        standIn.setLag(300);
        standIn.set(List.of(ROW.leaving()));
        assertEquals(states(caller), List.of("live"));
        await().until(() -> states(caller).equals(List.of("leaving")));
        caller.stop();
        standIn.stop();
    }

    private static List<String> states(TestCaller caller) throws Exception {
        return json(caller.call("GET", "/v1/vms")).path("vms").findValuesAsText("state");
    }
}
