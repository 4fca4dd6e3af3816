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
    private static final int SIZE = 400_000;

    @Test
    public void twoReadersShareTheRate() throws Exception {
        WeightStoreStandIn store = WeightStoreStandIn.start(
                WeightStoreSettings.usual().withSize(SIZE, 4.0 * SIZE).withVersions(Set.of("v1")));
        TestCaller caller = TestCaller.to(store.address());
        long begin = System.nanoTime();
        CompletableFuture<HttpResponse> first = caller.send("GET", "/v1/weights/model/v1", new byte[0]);
        CompletableFuture<HttpResponse> second = caller.send("GET", "/v1/weights/model/v1", new byte[0]);
        assertEquals(first.get(30, TimeUnit.SECONDS).body().length, SIZE);
        assertEquals(second.get(30, TimeUnit.SECONDS).body().length, SIZE);
        // Both together can't be faster than the rate allows: 2 * SIZE at 4 * SIZE a second.
        assertTrue(System.nanoTime() - begin >= TimeUnit.MILLISECONDS.toNanos(500));
        assertEquals(store.mostReaders(), 2);
        assertEquals(caller.call("GET", "/v1/weights/model/v9").status(), 404);
        caller.stop();
        store.stop();
    }
}
