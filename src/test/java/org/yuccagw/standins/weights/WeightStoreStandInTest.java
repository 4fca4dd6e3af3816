package org.yuccagw.standins.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.standins.http.TestCaller;

public class WeightStoreStandInTest {
    private static final int VERSION_BYTES = 400_000;

    @Test
    public void concurrentReadersShareTheRate() throws Exception {
        WeightStoreStandIn store = WeightStoreStandIn.start(WeightStoreSettings.defaults()
                .withSize(VERSION_BYTES, 4.0 * VERSION_BYTES)
                .withVersions(Set.of("v1")));
        TestCaller caller = TestCaller.to(store.address());
        long startNanos = System.nanoTime();
        CompletableFuture<HttpResponse> first = caller.send("GET", "/v1/weights/model/v1", new byte[0]);
        CompletableFuture<HttpResponse> second = caller.send("GET", "/v1/weights/model/v1", new byte[0]);
        assertEquals(first.get(30, TimeUnit.SECONDS).body().length, VERSION_BYTES);
        assertEquals(second.get(30, TimeUnit.SECONDS).body().length, VERSION_BYTES);
        // 2 * VERSION_BYTES at 4 * VERSION_BYTES per second take at least 500 ms.
        assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(500));
        assertEquals(store.mostReaders(), 2);
        assertEquals(caller.call("GET", "/v1/weights/model/v9").status(), 404);
        caller.stop();
        store.stop();
    }
}
