package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines that start again under their id while the key-value service is unavailable. */
public class UnseenStartTest {
    private static final Duration NOTICE_BOUND = Duration.ofSeconds(2);
    private static final int ENGINES = 12;
    private static final String ENGINE = "engine-0";

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{8}, {20}, {66}, {95}};
    }

    // Guards against holding a notice against the start that was known, when a later one gave it.
    @Test(dataProvider = "sizes")
    public void aNoticeOfAnUnseenStartIsRemembered(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.fleet.bench.keyValue().setDown(true);
        load.nodes.forEach(load.fleet.bench::cutFromAll);
        load.runTraffic(Duration.ofSeconds(1));
        load.restartEngine(ENGINE);
        load.startLeaving(ENGINE);
        load.runTraffic(Duration.ofSeconds(3));
        load.fleet.bench.keyValue().setDown(false);
        load.runTraffic(Duration.ofSeconds(4));
        List<VirtualLoad.Arrival> late = load.arrivalsAfterLeavingNoticeOfAnyStart(ENGINE, NOTICE_BOUND);
        assertTrue(late.isEmpty(), late.size() + " requests of entries that had received the notice");
    }

    // Guards against sparing a sound engine for what its earlier start said before the outage.
    @Test(dataProvider = "sizes")
    public void aNoticeBeforeTheOutageDoesNotConcernALaterStart(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.startLeaving(ENGINE);
        load.runTraffic(Duration.ofSeconds(3));
        load.fleet.bench.keyValue().setDown(true);
        load.runTraffic(Duration.ofSeconds(2));
        load.restartEngine(ENGINE);
        load.runTraffic(Duration.ofSeconds(2));
        load.fleet.bench.keyValue().setDown(false);
        load.runTraffic(Duration.ofSeconds(3));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(1));
        long received = load.count(ENGINE, from, load.now());
        assertTrue(received > 10, "received " + received);
    }
}
