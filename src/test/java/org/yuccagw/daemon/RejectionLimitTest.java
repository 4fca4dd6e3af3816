package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;

/** Guards against endpoints failing because a fleet makes them reject more requests than they can bear. */
public class RejectionLimitTest {
    private static final FailureDomain HOME = FailureDomain.of("ulemiste");
    private static final FailureDomain OTHER = FailureDomain.of("kadaka");
    private static final int ENDPOINTS = 3;
    private static final int MAX_REJECTIONS = 5;
    private static final int WAITING_PLACES = 4;
    private static final Duration RUN_TIME = Duration.ofMillis(40);
    private static final Duration TRAVEL_TIME = Duration.ofMillis(2);
    private static final Duration DOWN_TIME = Duration.ofSeconds(3);
    private static final Duration SECOND = Duration.ofSeconds(1);

    /** The users' rule. */
    private static final double MAX_FAILURES = 2 + 0.1 * ENDPOINTS;

    /** Of the calls at a load that the endpoints can run. */
    private static final double MIN_SERVED = 0.7;

    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private VirtualFleet fleet;
    private List<BenchNode> nodes;
    private int nextNode;
    private int answered;
    private int sent;

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{8, 0.7}, {8, 1.5}, {8, 4.0}, {66, 0.7}, {66, 1.5}, {66, 4.0}};
    }

    private enum Disturbance {
        EACH_ALONE,
        CUT_IN_TWO,
        ALL_RESTARTED,
        HALF_PAUSED
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{8}, {66}, {95}};
    }

    @DataProvider
    public Object[][] disturbances() {
        List<Object[]> cases = new ArrayList<>();
        for (Disturbance disturbance : Disturbance.values()) {
            cases.add(new Object[] {8, 0.7, disturbance});
            cases.add(new Object[] {8, 4.0, disturbance});
            cases.add(new Object[] {66, 4.0, disturbance});
        }
        cases.add(new Object[] {95, 1.5, Disturbance.EACH_ALONE});
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "loads")
    public void endpointsThatCanRejectFewRequestsDoNotFail(int entries, double load) {
        start(entries);
        runTraffic(load, Duration.ofSeconds(4));
        endpoints.values().forEach(Endpoint::shrink);
        runTraffic(load, Duration.ofSeconds(4));
        assertFewFailures();
        assertTrue(answered > 100, "only " + answered + " calls were answered");
    }

    @Test(dataProvider = "loads")
    public void endpointsThatCanRejectFewRequestsDoNotFailWhileEntriesStart(int entries, double load) {
        start(entries);
        runTraffic(load, Duration.ofSeconds(4));
        endpoints.values().forEach(Endpoint::shrink);
        restart(nodes.get(0));
        restart(nodes.get(1));
        runTraffic(load, Duration.ofSeconds(4));
        assertFewFailures();
    }

    // Guards against a limit that is kept by refusing most calls, though endpoints have free slots.
    @Test(dataProvider = "sizes")
    public void endpointsThatCanRejectFewRequestsServeMostOfWhatTheyCanRun(int entries) {
        start(entries);
        runTraffic(0.7, Duration.ofSeconds(4));
        endpoints.values().forEach(Endpoint::shrink);
        runTraffic(0.7, Duration.ofSeconds(2));
        answered = 0;
        sent = 0;
        runTraffic(0.7, Duration.ofSeconds(4));
        assertTrue(answered >= MIN_SERVED * sent, answered + " of " + sent + " calls were answered");
        assertFewFailures();
    }

    // Guards against entries that each use the room of all, when they see none of the others or have just started.
    @Test(dataProvider = "disturbances")
    public void endpointsThatCanRejectFewRequestsDoNotFailInDisturbances(
            int entries, double load, Disturbance disturbance) {
        start(entries);
        runTraffic(load, Duration.ofSeconds(4));
        endpoints.values().forEach(Endpoint::shrink);
        runTraffic(load, Duration.ofSeconds(3));
        switch (disturbance) {
            case EACH_ALONE -> cut(nodes.size());
            case CUT_IN_TWO -> cut(2);
            case ALL_RESTARTED -> List.copyOf(nodes).forEach(this::restart);
            case HALF_PAUSED -> {
                for (int index = 0; index < nodes.size(); index += 2) {
                    nodes.get(index).pause(Duration.ofSeconds(2));
                }
            }
            default -> throw new AssertionError(disturbance);
        }
        runTraffic(load, Duration.ofSeconds(5));
        fleet.bench.healNetwork();
        runTraffic(load, Duration.ofSeconds(3));
        assertFewFailures();
    }

    private void cut(int parts) {
        for (int one = 0; one < nodes.size(); one++) {
            for (int other = 0; other < one; other++) {
                if (one % parts != other % parts) {
                    fleet.bench.cut(nodes.get(one), nodes.get(other));
                }
            }
        }
    }

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        endpoints.clear();
        answered = 0;
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, index % 2 == 0 ? HOME : OTHER));
        }
        fleet.configure(1);
        for (int index = 0; index < ENDPOINTS; index++) {
            fleet.addPlain("plain-" + index);
            endpoints.put("plain-" + index, new Endpoint());
        }
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    private void restart(BenchNode node) {
        node.kill();
        nodes.remove(node);
        nodes.add(fleet.start(node.entry().value(), node.identity().domain()));
    }

    private void assertFewFailures() {
        int failures = endpoints.values().stream()
                .mapToInt(endpoint -> endpoint.failures)
                .sum();
        assertTrue(failures <= MAX_FAILURES, failures + " failures");
    }

    /**
     * Sends calls through all entries in turn.
     *
     * @param load calls as a multiple of what the endpoints can run
     */
    private void runTraffic(double load, Duration duration) {
        double callsPerSecond = load * ENDPOINTS * VirtualFleet.PLAIN_SLOTS / (RUN_TIME.toNanos() / 1e9);
        Duration interval = Duration.ofNanos((long) (1e9 / callsPerSecond));
        sendNext(now() + duration.toNanos(), interval);
        fleet.bench.runFor(duration);
    }

    private void sendNext(long endNanos, Duration interval) {
        BenchNode node = nodes.get(nextNode++ % nodes.size());
        sent++;
        request(node, PlacementRequest.Kind.FIRST);
        if (now() < endNanos) {
            fleet.bench.time().after(interval, () -> sendNext(endNanos, interval));
        }
    }

    private void request(BenchNode node, PlacementRequest.Kind kind) {
        boolean ready = node.state(Deployment.class).isPresent();
        if (ready && !node.isDead()) {
            fleet.requestPlainPlacement(node, kind, decision -> onDecision(node, decision));
        }
    }

    private void onDecision(BenchNode node, PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Placed placed) {
            Endpoint endpoint = endpoints.get(placed.endpoint().id().value());
            fleet.bench.time().after(TRAVEL_TIME, () -> endpoint.receive(node, placed));
        }
    }

    private void end(BenchNode node, PlacementDecision.Placed placed, End end, boolean said) {
        fleet.bench.time().after(TRAVEL_TIME, () -> {
            if (said) {
                EndpointNotice notice = EndpointNotice.ofMaxRejections(MAX_REJECTIONS);
                node.offer(new NoticeReceived(placed.endpoint().incarnation(), notice, false));
            }
            node.offer(new AttemptEnded(placed.ticket(), end, OptionalLong.empty()));
            if (end == End.SHED) {
                request(node, PlacementRequest.Kind.REPEAT);
            }
        });
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }

    /** An endpoint that fails if it has to reject too many requests in a second. */
    private final class Endpoint {
        private final ArrayDeque<Long> rejections = new ArrayDeque<>();
        private int waitingPlaces = WAITING_PLACES;
        private int present;
        private int failures;
        private long downUntilNanos = Long.MIN_VALUE;

        void shrink() {
            waitingPlaces = 0;
        }

        void receive(BenchNode node, PlacementDecision.Placed placed) {
            if (now() < downUntilNanos) {
                end(node, placed, End.UNREACHED, false);
            } else if (present >= VirtualFleet.PLAIN_SLOTS + waitingPlaces) {
                reject(node, placed);
            } else {
                present++;
                long waitNanos = present > VirtualFleet.PLAIN_SLOTS ? RUN_TIME.toNanos() : 0;
                fleet.bench.time().after(RUN_TIME.plusNanos(waitNanos), () -> {
                    present--;
                    answered++;
                    end(node, placed, End.ANSWERED, true);
                });
            }
        }

        private void reject(BenchNode node, PlacementDecision.Placed placed) {
            rejections.add(now());
            while (now() - rejections.peek() >= SECOND.toNanos()) {
                rejections.remove();
            }
            end(node, placed, End.SHED, true);
            if (rejections.size() > MAX_REJECTIONS) {
                failures++;
                rejections.clear();
                downUntilNanos = now() + DOWN_TIME.toNanos();
            }
        }
    }
}
