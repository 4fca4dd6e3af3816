package org.yuccagw.core.relay;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Guards against entries that are cut off and don't notice, or ask each other until their callers have gone, in fleets
 * of all sizes. Time is virtual.
 */
public class CutOffFleetTest {
    private static final Duration NOTICE_TIME = Duration.ofSeconds(3);
    private static final Duration DURATION = Duration.ofSeconds(8);

    /** The shortest objective of a first answer on the users' deployments, less the time of the answer itself. */
    private static final Duration LONGEST_DETOUR = Duration.ofMillis(200);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration RELAY_ROUND_TRIP = Duration.ofMillis(5);
    private static final double REQUESTS_PER_SECOND = 3;
    private static final int MIN_SERVED_PERCENT = 95;

    @DataProvider
    public Object[][] fleets() {
        List<Object[]> cases = new ArrayList<>();
        for (int[] size : new int[][] {{8, 16}, {23, 35}, {66, 66}, {95, 42}, {71, 101}}) {
            for (double cut : new double[] {0.1, 0.6, 0.9}) {
                for (boolean refused : new boolean[] {true, false}) {
                    cases.add(new Object[] {size[0], size[1], cut, refused});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void firstTriesAtEntriesThatAreCutOffReachTheirEndpointsInTime(
            int entries, int endpoints, double cutShare, boolean refused) {
        Fleet fleet =
                new Fleet(entries, endpoints, Math.min(entries - 1, (int) Math.ceil(entries * cutShare)), refused);
        fleet.run();
        int percent = 100 * fleet.inTime / fleet.sent;
        assertTrue(percent >= MIN_SERVED_PERCENT, fleet.inTime + " of " + fleet.sent + " in time");
    }

    @Test
    public void deadEndpointsAreNotTakenForACutByEntriesThatReachTheOthers() {
        DirectPaths paths = DirectPaths.create();
        NetworkAddress sound = NetworkAddress.of("10.0.0.1", 1);
        paths.recordUnreached(NetworkAddress.of("10.0.0.2", 1), 0);
        paths.recordUnreached(NetworkAddress.of("10.0.0.3", 1), 0);
        paths.recordReached(sound);
        assertTrue(!paths.isCutOff(1));
        assertTrue(paths.pathTo(sound, 1) == DirectPaths.Path.DIRECT);
    }

    /** Entries that send requests one after the other, each at its own clock. */
    private static final class Fleet {
        private final List<Entry> entries = new ArrayList<>();
        private final Set<EntryId> cut = new HashSet<>();
        private final int endpoints;
        private final boolean refused;
        private final Random random = new Random(7);
        private int sent;
        private int inTime;

        private Fleet(int entryCount, int endpoints, int cutCount, boolean refused) {
            this.endpoints = endpoints;
            this.refused = refused;
            for (int index = 0; index < entryCount; index++) {
                Entry entry = new Entry(EntryId.of("entry-" + index), this);
                entries.add(entry);
                if (index < cutCount) {
                    cut.add(entry.id);
                }
            }
        }

        private void run() {
            long stepNanos = (long) (1e9 / REQUESTS_PER_SECOND / entries.size());
            for (long now = 0; now < DURATION.toNanos(); now += stepNanos) {
                Entry entry = entries.get(random.nextInt(entries.size()));
                long detourNanos = entry.send(endpoint(), now);
                boolean counted = cut.contains(entry.id) && now >= NOTICE_TIME.toNanos();
                if (counted) {
                    sent++;
                    inTime += detourNanos <= LONGEST_DETOUR.toNanos() ? 1 : 0;
                }
            }
        }

        private NetworkAddress endpoint() {
            return NetworkAddress.of("10.1.0.1", 1 + random.nextInt(endpoints));
        }

        private ImmutableList<Relay> others(EntryId self) {
            return entries.stream()
                    .filter(entry -> !entry.id.equals(self))
                    .map(entry -> new Relay(entry.id, NetworkAddress.of("10.0.0.1", 1)))
                    .collect(ImmutableList.toImmutableList());
        }

        private Entry find(EntryId id) {
            return entries.stream()
                    .filter(entry -> entry.id.equals(id))
                    .findFirst()
                    .orElseThrow();
        }
    }

    private static final class Entry {
        private final EntryId id;
        private final Fleet fleet;
        private final DirectPaths paths = DirectPaths.create();
        private final RelayChoice choice;

        private Entry(EntryId id, Fleet fleet) {
            this.id = id;
            this.fleet = fleet;
            this.choice = RelayChoice.of(() -> fleet.others(id), fleet.random::nextInt);
        }

        /** Returns the time until the endpoint gets the request; very long if it doesn't at the first placement. */
        private long send(NetworkAddress endpoint, long startNanos) {
            PathPlan plan = PathPlan.of(paths, choice, endpoint);
            long now = startNanos;
            PathPlan.Step step = plan.first(now);
            while (true) {
                if (step instanceof PathPlan.Step.Direct direct) {
                    if (!fleet.cut.contains(id)) {
                        paths.recordReached(endpoint);
                        return now - startNanos;
                    }
                    now += connectNanos(direct);
                    step = plan.afterDirectFailure(now);
                } else if (step instanceof PathPlan.Step.Via via) {
                    Entry relay = fleet.find(via.relay().entry());
                    now += RELAY_ROUND_TRIP.toNanos();
                    if (!fleet.cut.contains(relay.id)) {
                        plan.recordRelayed(via.relay(), now);
                        relay.paths.recordReached(endpoint);
                        return now - startNanos;
                    }
                    now += relay.refusalNanos(endpoint, now);
                    step = plan.afterRelayFailure(via.relay(), relay.outcome(now), now);
                } else {
                    return Long.MAX_VALUE;
                }
            }
        }

        private long connectNanos(PathPlan.Step.Direct direct) {
            return fleet.refused
                    ? 0
                    : direct.maxConnectTimeout().orElse(CONNECT_TIMEOUT).toNanos();
        }

        /** Returns how long an entry that is cut off takes to say that it can't relay. */
        private long refusalNanos(NetworkAddress endpoint, long nowNanos) {
            DirectPaths.Path path = paths.pathTo(endpoint, nowNanos);
            boolean known = path == DirectPaths.Path.RELAYED || path == DirectPaths.Path.NONE;
            boolean tested = !known || paths.claimProbe(endpoint, nowNanos);
            if (tested) {
                paths.recordUnreached(endpoint, nowNanos);
            }
            return known || fleet.refused ? 0 : Duration.ofMillis(150).toNanos();
        }

        private RelayOutcome outcome(long nowNanos) {
            return paths.isCutOff(nowNanos) ? RelayOutcome.CUT_OFF : RelayOutcome.UNREACHED;
        }
    }
}
