package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.placing.PlacementDecision;

/** Guards against requests that are placed on outdated weights after their limit, in fleets of all sizes. */
public class OutdatedWeightsTest {
    private static final int ENGINES = 8;
    private static final int DOMAINS = 5;
    private static final Duration LIMIT = VirtualFleet.WEIGHT_CHANGE_LIMIT;
    private static final Duration TROUBLE_BEFORE_NAMING = Duration.ofMillis(300);

    /** An entry is bound by the limit again this long after its trouble. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private static final Duration OBSERVED = LIMIT.plusSeconds(6);
    private static final Duration SENT_EVERY = Duration.ofMillis(150);
    private static final int TOKENS = 500;

    /** A calm fleet still uses older weights this long after the naming: the limit, less its margin and one watch. */
    private static final Duration USED_AT_LEAST = Duration.ofMillis(5_200);

    private final List<BenchNode> nodes = new ArrayList<>();
    private VirtualFleet fleet;
    private long namedNanos;
    private long lastOnOlderNanos;
    private int sent;
    private List<String> late;

    private enum Trouble {
        NONE,
        PAUSED,
        WATCHES_SILENT,
        CUT_FROM_SERVICE,
        CUT_FROM_ENTRIES,
        CUT_FROM_ALL,
        RESTARTED
    }

    @DataProvider
    public static Object[][] plays() {
        List<Object[]> plays = new ArrayList<>();
        for (int entries : new int[] {1, 3, 8, 66, 95}) {
            for (Trouble trouble : Trouble.values()) {
                plays.add(new Object[] {entries, trouble, Duration.ofMillis(4_500)});
            }
        }
        plays.add(new Object[] {8, Trouble.PAUSED, Duration.ofMillis(1_500)});
        plays.add(new Object[] {8, Trouble.PAUSED, Duration.ofSeconds(7)});
        plays.add(new Object[] {66, Trouble.PAUSED, Duration.ofSeconds(7)});
        return plays.toArray(new Object[0][]);
    }

    @Test(dataProvider = "plays")
    public void nothingIsPlacedOnOutdatedWeightsByAnEntryThatLearntLate(
            int entries, Trouble trouble, Duration duration) {
        start(entries);
        List<BenchNode> troubled = List.of(nodes.get(0), nodes.get(entries - 1));
        troubled.forEach(node -> begin(trouble, node, duration));
        fleet.bench.runFor(TROUBLE_BEFORE_NAMING);
        nameWeights();
        fleet.bench.runFor(duration.minus(TROUBLE_BEFORE_NAMING));
        end(trouble);
        observe(trouble == Trouble.NONE ? 0 : now());
        Reporter.log(
                entries + " " + trouble + ": older weights used until "
                        + Duration.ofNanos(lastOnOlderNanos - namedNanos).toMillis() + " ms, " + sent + " placed",
                true);
        assertEquals(late, List.of());
        assertTrue(trouble != Trouble.NONE || lastOnOlderNanos - namedNanos >= USED_AT_LEAST.toNanos());
    }

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes.clear();
        late = new ArrayList<>();
        sent = 0;
        lastOnOlderNanos = 0;
        fleet.configure(1);
        for (int index = 0; index < ENGINES; index++) {
            fleet.addEngine("engine-" + index);
        }
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, domain(index)));
        }
        fleet.dropOrders();
        fleet.bench.runFor(Duration.ofSeconds(8));
        namedNanos = now();
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + index % DOMAINS);
    }

    private void begin(Trouble trouble, BenchNode node, Duration duration) {
        switch (trouble) {
            case PAUSED -> node.pause(duration);
            case WATCHES_SILENT -> fleet.bench.keyValue().setWatchesSilent(true);
            case CUT_FROM_SERVICE -> fleet.bench.keyValue().cutOff(node.entry());
            case CUT_FROM_ENTRIES -> fleet.bench.cutFromAll(node);
            case CUT_FROM_ALL -> {
                fleet.bench.keyValue().cutOff(node.entry());
                fleet.bench.cutFromAll(node);
            }
            default -> {}
        }
    }

    private void end(Trouble trouble) {
        if (trouble == Trouble.RESTARTED) {
            restart(0);
        }
        fleet.bench.keyValue().setWatchesSilent(false);
        nodes.forEach(node -> fleet.bench.keyValue().reach(node.entry()));
        fleet.bench.healNetwork();
    }

    private void restart(int index) {
        nodes.get(index).kill();
        nodes.set(index, fleet.start("entry-" + index, domain(index)));
    }

    private void nameWeights() {
        fleet.nameWeights(2);
        namedNanos = now();
    }

    private void observe(long troubledUntilNanos) {
        long boundNanos = Math.max(namedNanos + LIMIT.toNanos(), troubledUntilNanos + CONTACT.toNanos());
        while (now() - namedNanos < OBSERVED.toNanos()) {
            for (int index : new int[] {0, nodes.size() / 2, nodes.size() - 1}) {
                place(nodes.get(index), boundNanos);
            }
            fleet.bench.runFor(SENT_EVERY);
        }
    }

    private void place(BenchNode node, long boundNanos) {
        if (VirtualFleet.configurationOf(node) == 0) {
            return;
        }
        fleet.requestPlacement(node, TOKENS, decision -> {
            boolean onOlder = decision instanceof PlacementDecision.Placed placed
                    && placed.version().equals(OptionalLong.of(1));
            sent += decision instanceof PlacementDecision.Placed ? 1 : 0;
            if (onOlder) {
                lastOnOlderNanos = Math.max(lastOnOlderNanos, now());
            }
            if (onOlder && now() - boundNanos > 0) {
                late.add(node.entry() + " at "
                        + Duration.ofNanos(now() - namedNanos).toMillis());
            }
        });
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }
}
