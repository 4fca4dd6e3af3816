package org.yuccagw.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.relay.CutOffChanged;

/** Guards against engines that get no orders because the entry that sends them has lost its paths to them. */
public class CutOffHolderTest {
    private static final Duration STABLE_TIME = Duration.ofSeconds(8);
    private static final Duration ORDER_TIME = Duration.ofSeconds(8);
    private static final int ENGINES = 4;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{8}, {23}};
    }

    @Test(dataProvider = "sizes")
    public void anEntryThatIsCutOffPassesTheOrdersOnToAnother(int entries) {
        VirtualFleet fleet = new VirtualFleet();
        List<BenchNode> nodes = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index));
        }
        fleet.configure(1);
        for (int index = 0; index < ENGINES; index++) {
            fleet.addEngine("engine-" + index);
        }
        fleet.bench.runFor(STABLE_TIME);
        fleet.nameWeights(2);
        fleet.bench.runFor(ORDER_TIME);
        assertTrue(fleet.allEnginesRun(2));
        EntryId holder = fleet.orders.get(fleet.orders.size() - 1).from();
        nodes.stream().filter(node -> node.entry().equals(holder)).forEach(node -> node.offer(new CutOffChanged(true)));
        fleet.orders.clear();
        fleet.nameWeights(3);
        fleet.bench.runFor(ORDER_TIME);
        assertTrue(fleet.allEnginesRun(3));
        assertFalse(fleet.orders.stream().anyMatch(order -> order.from().equals(holder)));
    }
}
