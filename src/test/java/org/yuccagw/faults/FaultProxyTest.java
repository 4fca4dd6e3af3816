package org.yuccagw.faults;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.yuccagw.standins.http.TestCaller.json;

import com.google.common.hash.Hashing;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.standins.http.TestCaller;
import org.yuccagw.standins.plain.PlainFaults;
import org.yuccagw.standins.plain.PlainServiceStandIn;

public class FaultProxyTest {
    private static final int SIZE = 500_000;

    private PlainServiceStandIn service;
    private FaultProxy proxy;
    private TestCaller caller;

    @BeforeMethod
    public void start() throws Exception {
        service = PlainServiceStandIn.start("backend-1", 0);
        proxy = FaultProxy.start(service.address());
        caller = TestCaller.to(proxy.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        caller.stop();
        proxy.stop();
        service.stop();
    }

    @Test(invocationCount = 20)
    public void bytesPassWholeAndInOrderWhileTheDelayChanges() throws Exception {
        proxy.delay(Duration.ofMillis(30));
        byte[] body = bytes();
        CompletableFuture<HttpResponse> slow = caller.send("POST", "/a", body);
        proxy.delay(Duration.ZERO);
        assertEquals(
                json(slow.get(30, TimeUnit.SECONDS)).path("body_hash").asText(),
                Hashing.sha256().hashBytes(body).toString());
    }

    @Test
    public void delayedBytesComeNoEarlierThanTheirTime() throws Exception {
        proxy.delay(Duration.ofMillis(100));
        long begin = System.nanoTime();
        caller.call("GET", "/a");
        assertTrue(System.nanoTime() - begin >= TimeUnit.MILLISECONDS.toNanos(200));
    }

    @Test
    public void throttledBytesTakeTheirTime() throws Exception {
        proxy.throttle(SIZE * 2.0);
        long begin = System.nanoTime();
        caller.call("POST", "/a", bytes());
        assertTrue(System.nanoTime() - begin >= TimeUnit.MILLISECONDS.toNanos(500));
    }

    // Something between the two ends lost track of a connection: it shows no error and passes nothing, ever, while a
    // new connection to the same address works.
    @Test
    public void aSilencedConnectionStaysOpenWhileNewOnesPass() throws Exception {
        caller.call("GET", "/a");
        proxy.silenceOpen();
        CompletableFuture<HttpResponse> stuck = caller.send("GET", "/a", new byte[0]);
        TestCaller fresh = TestCaller.to(proxy.address());
        assertEquals(fresh.call("GET", "/b").status(), 200);
        assertFalse(stuck.isDone());
        assertEquals(service.calls().size(), 2);
        fresh.stop();
    }

    @Test
    public void aDroppedAnswerLeavesItsEffect() throws Exception {
        proxy.dropAnswers(1);
        expectThrows(ExecutionException.class, () -> caller.call("POST", "/a"));
        assertEquals(service.calls().size(), 1);
        assertEquals(caller.call("POST", "/a").status(), 200);
    }

    @Test
    public void aCutEndsWhatIsInProgress() throws Exception {
        service.order(PlainFaults.none().withAnswerMillis(600_000));
        CompletableFuture<HttpResponse> waiting = caller.send("GET", "/a", new byte[0]);
        await().until(() -> service.calls().size() == 1);
        proxy.cut();
        expectThrows(ExecutionException.class, () -> waiting.get(30, TimeUnit.SECONDS));
        assertEquals(proxy.openConnections(), 0);
    }

    @Test
    public void refusedConnectionsNeverReachTheTargetUntilItHeals() throws Exception {
        proxy.refuseNew();
        expectThrows(ExecutionException.class, () -> caller.call("GET", "/a"));
        assertEquals(service.calls().size(), 0);
        proxy.heal();
        assertEquals(caller.call("GET", "/a").status(), 200);
    }

    @Test
    public void newConnectionsGoToTheNewTarget() throws Exception {
        PlainServiceStandIn other = PlainServiceStandIn.start("backend-2", 0);
        proxy.retarget(other.address());
        assertEquals(json(caller.call("GET", "/a")).path("service").asText(), "backend-2");
        other.stop();
    }

    private static byte[] bytes() {
        byte[] bytes = new byte[SIZE];
        new SplittableRandom(7).nextBytes(bytes);
        return bytes;
    }
}
