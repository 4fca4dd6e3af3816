package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/** All entries always have retries to place; together they stay within the retry budget of the fleet. */
public class RetryBudgetFleetTest {
    private static final int DOMAINS = 4;
    private static final double RATIO = 0.2;
    private static final int SLACK = 56;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration SETTLING = Duration.ofSeconds(15);
    private static final Duration QUIET_TIME = Duration.ofSeconds(22);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);
    /** Time between two retries of all entries together: more than the budget of any size of fleet. */
    private static final Duration RETRY_INTERVAL_OF_ALL = Duration.ofMillis(5);

    /** Of what is allowed in a window, in a fleet without failures. */
    private static final double MIN_USE = 0.65;

    private VirtualFleet fleet;
    private List<BenchNode> nodes;
    private List<Long> requestMillis;
    private List<Long> retryMillis;

    /** What happens to the fleet while its entries have retries to place. */
    private enum Disturbance {
        NONE,
        CUT_IN_TWO,
        CUT_IN_TWO_FOR_LONG,
        EACH_ALONE,
        EACH_ALONE_THREE_TIMES,
        HALF_PAUSED,
        ALL_RESTARTED,
        ALL_RESTARTED_TWICE,
        RESTARTED_ONE_AFTER_THE_OTHER,
        HALF_KILLED_THEN_CUT_IN_TWO,
        FIRST_ENTRIES_KILLED_IN_TURN
    }

    @DataProvider
    public static Object[][] disturbances() {
        List<Object[]> cases = new ArrayList<>();
        for (Disturbance disturbance : Disturbance.values()) {
            cases.add(new Object[] {8, disturbance});
            cases.add(new Object[] {66, disturbance});
        }
        cases.add(new Object[] {95, Disturbance.EACH_ALONE});
        cases.add(new Object[] {95, Disturbance.HALF_PAUSED});
        cases.add(new Object[] {95, Disturbance.ALL_RESTARTED_TWICE});
        return cases.toArray(new Object[0][]);
    }

    @DataProvider
    public static Object[][] sizes() {
        return new Object[][] {{8}, {66}, {95}};
    }

    // Guards against retries beyond the budget when entries see only a part of the fleet, or have just started.
    @Test(dataProvider = "disturbances")
    public void noWindowHoldsMoreRetriesThanTheFleetMaySend(int entries, Disturbance disturbance) {
        start(entries);
        run(QUIET_TIME);
        disturb(disturbance);
        run(QUIET_TIME);
        double use = greatestUse(0);
        assertTrue(use <= 1, "at most " + use + " of the budget in one window");
    }

    // Guards against a budget that is kept by sending no retries.
    @Test(dataProvider = "sizes")
    public void mostOfTheBudgetIsUsableWithoutFailures(int entries) {
        start(entries);
        run(QUIET_TIME);
        double use = greatestUse(0);
        assertTrue(use >= MIN_USE, "at most " + use + " of the budget is used");
    }

    // Guards against shares that stay small after a failure is over.
    @Test(dataProvider = "sizes")
    public void mostOfTheBudgetIsUsableAgainAfterAllEntriesWereRestarted(int entries) {
        start(entries);
        run(QUIET_TIME);
        restartAll();
        run(QUIET_TIME);
        long recoveredMillis = nowMillis() - WINDOW.toMillis();
        run(QUIET_TIME);
        double use = greatestUse(recoveredMillis);
        assertTrue(use >= MIN_USE, "at most " + use + " of the budget is used");
    }

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        requestMillis = new ArrayList<>();
        retryMillis = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            nodes.add(startEntry(index));
        }
        fleet.configure(1);
        for (int index = 0; index < 10; index++) {
            fleet.addPlain("plain-" + index);
        }
        fleet.bench.runFor(SETTLING);
        for (int index = 0; index < entries; index++) {
            Duration offset = REQUEST_INTERVAL.multipliedBy(index).dividedBy(entries);
            int entry = index;
            fleet.bench.time().after(offset, () -> sendRequests(entry));
            fleet.bench.time().after(offset, () -> sendRetries(entry));
        }
    }

    private BenchNode startEntry(int index) {
        return fleet.start("entry-" + index, FailureDomain.of("domain-" + index % DOMAINS));
    }

    private void sendRequests(int entry) {
        fleet.bench.time().after(REQUEST_INTERVAL, () -> sendRequests(entry));
        if (isServing(entry)) {
            requestMillis.add(nowMillis());
            send(entry, Kind.FIRST, () -> {});
        }
    }

    private void sendRetries(int entry) {
        fleet.bench.time().after(RETRY_INTERVAL_OF_ALL.multipliedBy(nodes.size()), () -> sendRetries(entry));
        if (isServing(entry)) {
            send(entry, Kind.REPEAT, () -> retryMillis.add(nowMillis()));
        }
    }

    private boolean isServing(int entry) {
        BenchNode node = nodes.get(entry);
        return !node.isDead() && node.state(Deployment.class).isPresent();
    }

    private void send(int entry, Kind kind, Runnable onPlaced) {
        BenchNode node = nodes.get(entry);
        fleet.requestPlainPlacement(node, kind, decision -> {
            if (decision instanceof PlacementDecision.Placed placed) {
                onPlaced.run();
                fleet.bench
                        .time()
                        .after(
                                Duration.ofMillis(1),
                                () -> node.offer(new AttemptEnded(
                                        placed.ticket(), AttemptEnded.End.ANSWERED, OptionalLong.empty())));
            }
        });
    }

    private void disturb(Disturbance disturbance) {
        switch (disturbance) {
            case NONE -> run(QUIET_TIME);
            case CUT_IN_TWO -> cutFor(Duration.ofSeconds(6), 2);
            case CUT_IN_TWO_FOR_LONG -> cutFor(Duration.ofSeconds(30), 2);
            case EACH_ALONE -> cutFor(Duration.ofSeconds(7), nodes.size());
            case EACH_ALONE_THREE_TIMES -> {
                for (int time = 0; time < 3; time++) {
                    cutFor(Duration.ofSeconds(3), nodes.size());
                    run(Duration.ofSeconds(2));
                }
            }
            case HALF_PAUSED -> pauseHalf();
            case ALL_RESTARTED -> restartAll();
            case ALL_RESTARTED_TWICE -> {
                restartAll();
                run(Duration.ofSeconds(4));
                restartAll();
            }
            case RESTARTED_ONE_AFTER_THE_OTHER -> restartEach();
            case HALF_KILLED_THEN_CUT_IN_TWO -> {
                killHalf();
                run(Duration.ofSeconds(3));
                cutFor(Duration.ofSeconds(6), 2);
            }
            case FIRST_ENTRIES_KILLED_IN_TURN -> killFirstEntriesInTurn();
            default -> throw new AssertionError(disturbance);
        }
    }

    private void run(Duration duration) {
        fleet.bench.runFor(duration);
    }

    /** Cuts the fleet into parts, each entry into a part of its own if there are as many parts as entries. */
    private void cutFor(Duration duration, int parts) {
        for (int one = 0; one < nodes.size(); one++) {
            for (int other = 0; other < one; other++) {
                if (one % parts != other % parts) {
                    fleet.bench.cut(nodes.get(one), nodes.get(other));
                }
            }
        }
        run(duration);
        fleet.bench.healNetwork();
    }

    private void pauseHalf() {
        for (int index = 0; index < nodes.size(); index += 2) {
            nodes.get(index).pause(Duration.ofSeconds(4));
        }
        run(Duration.ofSeconds(4));
    }

    private void killHalf() {
        for (int index = 0; index < nodes.size(); index += 2) {
            nodes.get(index).kill();
        }
    }

    private void restartAll() {
        nodes.forEach(BenchNode::kill);
        run(Duration.ofSeconds(1));
        for (int index = 0; index < nodes.size(); index++) {
            nodes.set(index, startEntry(index));
        }
    }

    private void restartEach() {
        for (int index = 0; index < nodes.size(); index++) {
            nodes.get(index).kill();
            run(Duration.ofMillis(200));
            nodes.set(index, startEntry(index));
            run(Duration.ofMillis(300));
        }
    }

    private void killFirstEntriesInTurn() {
        for (int index = 0; index < nodes.size() / 4; index++) {
            nodes.get(index).kill();
            run(Duration.ofMillis(500));
        }
    }

    private long nowMillis() {
        return fleet.bench.time().nowNanos() / 1_000_000;
    }

    /** Returns the highest ratio of retries to those allowed, over all windows that begin at or after a time. */
    private double greatestUse(long sinceMillis) {
        double greatest = 0;
        for (long begin = sinceMillis; begin < nowMillis() - WINDOW.toMillis(); begin += 100) {
            long requests = Math.max(requestsFrom(begin), requestsFrom(begin - WINDOW.toMillis() / 2));
            requests = Math.max(requests, requestsFrom(begin - WINDOW.toMillis()));
            double allowed = RATIO * requests + SLACK;
            greatest = Math.max(greatest, countWithinWindow(retryMillis, begin) / allowed);
        }
        return greatest;
    }

    private long requestsFrom(long begin) {
        return countWithinWindow(requestMillis, begin);
    }

    private static long countWithinWindow(List<Long> sortedMillis, long begin) {
        return firstAtOrAfter(sortedMillis, begin + WINDOW.toMillis()) - firstAtOrAfter(sortedMillis, begin);
    }

    private static long firstAtOrAfter(List<Long> sortedMillis, long millis) {
        int low = 0;
        int high = sortedMillis.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (sortedMillis.get(middle) < millis) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
