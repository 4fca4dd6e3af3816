package org.yuccagw.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.standins.http.StandIn;
import org.yuccagw.standins.http.TestCaller;

public class StandInsTest {
    @DataProvider
    public static Object[] names() {
        return StandIns.names().toArray();
    }

    @Test(dataProvider = "names")
    public void eachStandInStartsByNameAndPrintsItsAddresses(String name) throws Exception {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        StandIn started = StandIns.run(name, Map.of(), new PrintStream(printed, true, StandardCharsets.UTF_8));
        assertEquals(
                printed.toString(StandardCharsets.UTF_8).strip(),
                "ready " + started.address() + " control " + started.controlAddress());
        TestCaller caller = TestCaller.to(started.controlAddress());
        assertTrue(json(caller.call("GET", "/record")).has("calls"));
        caller.stop();
        started.stop();
    }

    @Test
    public void anUnknownOptionIsReportedWithTheKnownOptions() {
        IllegalArgumentException error =
                expectThrows(IllegalArgumentException.class, () -> StandIns.start("vm-list", Map.of("lag", "3")));
        assertEquals(error.getMessage(), "stand-in 'vm-list' has no option 'lag'; it takes [lag_ms, port]");
    }

    @Test
    public void anUnknownNameIsReportedWithTheKnownNames() {
        IllegalArgumentException error =
                expectThrows(IllegalArgumentException.class, () -> StandIns.start("engines", Map.of()));
        assertTrue(error.getMessage().contains("engine, key-value, plain, store, vm-list, weight-store"));
    }

    @Test
    public void optionsAreParsedAsNamesAndValues() {
        assertEquals(StandIns.options(List.of("a=1", "b=c=d")), Map.of("a", "1", "b", "c=d"));
        expectThrows(IllegalArgumentException.class, () -> StandIns.options(List.of("a")));
    }
}
