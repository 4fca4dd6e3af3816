package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.daemon.CutOffEntry.Block;

/** Guards against an entry that can't reach the endpoints, while other entries can, failing its callers. */
public class CutOffEntryTest {
    /** Time within which an entry must have noticed that it is cut off. */
    private static final Duration NOTICE_TIME = Duration.ofSeconds(3);

    private static final int REQUESTS = 12;

    private CuttableFleet fleet;

    @BeforeMethod
    public void startAll() throws Exception {
        fleet = CuttableFleet.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        fleet.close();
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {
            {Block.REFUSED, "/once/x"}, {Block.REFUSED, "/again/x"}, {Block.REFUSED, "/stream/stream"},
            {Block.SILENT, "/once/x"}, {Block.SILENT, "/again/x"}, {Block.SILENT, "/stream/stream"},
        };
    }

    @Test(dataProvider = "cuts")
    public void anEntryThatIsCutOffServesItsCallersThroughAnother(Block block, String path) throws Exception {
        fleet.cut(0, block);
        fleet.sendFor(NOTICE_TIME, 0, path);
        assertServed(path);
    }

    @Test(dataProvider = "cuts")
    public void entriesThatAreCutOffTogetherServeTheirCallersThroughTheRemainingOne(Block block, String path)
            throws Exception {
        fleet.cut(0, block);
        fleet.cut(1, block);
        fleet.sendFor(NOTICE_TIME, 0, path);
        assertServed(path);
    }

    private void assertServed(String path) throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            HttpResponse answer = fleet.post(0, path);
            assertEquals(answer.status(), 200, answer.text());
            assertEquals(answer.header("Yuccagw-Response-Seal"), "seal-1");
        }
    }
}
