package org.yuccagw.standins.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.standins.http.TestCaller;

public class PlainServiceStandInTest {
    private static final byte[] BODY = "save marker-a-1".getBytes(StandardCharsets.UTF_8);

    private PlainServiceStandIn service;
    private TestCaller caller;

    @BeforeMethod
    public void start() throws Exception {
        service = PlainServiceStandIn.start("backend-1", 0);
        caller = TestCaller.to(service.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        service.stop();
    }

    @Test
    public void everyCallIsExecutedAndRecorded() throws Exception {
        assertEquals(json(caller.call("POST", "/a/b?c=d", BODY)).path("path").asText(), "/a/b?c=d");
        caller.call("POST", "/a/b?c=d", BODY);
        assertEquals(service.calls().size(), 2);
        assertEquals(service.calls().get(1).markers(), java.util.List.of("marker-a-1"));
        assertEquals(json(caller.call("GET", "/record")).path("carried_out").size(), 2);
    }

    @Test
    public void injectedFaultsFailCallsBeforeOrAfterTheirEffect() throws Exception {
        service.injectFaults(PlainFaults.none().withRefused(1, 429));
        assertEquals(caller.call("POST", "/a", BODY).status(), 429);
        service.injectFaults(PlainFaults.none().withCutBefore(1));
        expectThrows(ExecutionException.class, () -> caller.call("POST", "/a", BODY));
        assertEquals(service.calls().size(), 0);
        service.injectFaults(PlainFaults.none().withCutAfter(1));
        expectThrows(ExecutionException.class, () -> caller.call("POST", "/a", BODY));
        assertEquals(service.calls().size(), 1);
        assertEquals(caller.call("POST", "/a", BODY).status(), 200);
    }
}
