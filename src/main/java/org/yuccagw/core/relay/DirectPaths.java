package org.yuccagw.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.id.NetworkAddress;

/**
 * What this entry knows about its direct paths to endpoints, learned from the connections that it opened. Connections
 * that were open before show nothing: they may live on while new ones are refused.
 *
 * <p>A single failed connection mostly means that the endpoint is down, so a path counts as cut only after {@link
 * #MIN_FAILURES} failures, at one endpoint or several. Whether the endpoint is down or only this entry is cut off from
 * it is then decided by the entries that are asked to relay.
 *
 * <p>Thread-safe. Holds small objects for the endpoints used while some can't be reached, and none otherwise.
 */
public final class DirectPaths {
    /** Two failures within this time count as related. */
    private static final Duration FAILURE_MEMORY = Duration.ofSeconds(10);

    /** Time between two connections that test whether a cut path works again. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    /** Time for which an endpoint that no other entry could reach either counts as down. */
    private static final Duration DOWN_MEMORY = Duration.ofSeconds(1);

    private static final int MIN_FAILURES = 2;

    private final Map<NetworkAddress, Failure> failures = new HashMap<>();
    private final Set<NetworkAddress> reached = new HashSet<>();
    private final Map<NetworkAddress, Long> lastProbeNanos = new HashMap<>();

    /** How to send a request to an endpoint. */
    public enum Path {
        DIRECT,
        /** Directly, but other endpoints can't be reached, so this one may not be reachable either. */
        DIRECT_UNCERTAIN,
        RELAYED,
        /** Neither this entry nor another one could reach the endpoint just now. */
        NONE
    }

    private static final class Failure {
        private int count;
        private long lastNanos;
        private long downUntilNanos = Long.MIN_VALUE;
    }

    private DirectPaths() {}

    /** Creates the knowledge of an entry that has opened no connection yet. */
    public static DirectPaths create() {
        return new DirectPaths();
    }

    /** Records that a new connection to the endpoint was established. */
    public synchronized void recordReached(NetworkAddress endpoint) {
        if (failures.isEmpty()) {
            return;
        }
        failures.remove(endpoint);
        reached.add(endpoint);
        forgetAllIfNothingFails();
    }

    /** Records that a new connection to the endpoint was refused or not established in time. */
    public synchronized void recordUnreached(NetworkAddress endpoint, long nowNanos) {
        Failure failure = failures.computeIfAbsent(endpoint, address -> new Failure());
        failure.count++;
        failure.lastNanos = nowNanos;
        reached.remove(endpoint);
    }

    /** Records that other entries couldn't reach the endpoint either. */
    public synchronized void recordDown(NetworkAddress endpoint, long nowNanos) {
        Failure failure = failures.get(endpoint);
        if (failure != null) {
            failure.downUntilNanos = nowNanos + DOWN_MEMORY.toNanos();
        }
    }

    /** Returns how to send a request to the endpoint now. */
    public synchronized Path pathTo(NetworkAddress endpoint, long nowNanos) {
        failures.values().removeIf(failure -> nowNanos - failure.lastNanos > FAILURE_MEMORY.toNanos());
        forgetAllIfNothingFails();
        Failure failure = failures.get(endpoint);
        if (failure == null) {
            return pathToOther(endpoint);
        }
        if (failure.count < MIN_FAILURES && failures.size() < MIN_FAILURES) {
            return Path.DIRECT;
        }
        boolean down = failure.downUntilNanos != Long.MIN_VALUE && nowNanos - failure.downUntilNanos < 0;
        return down ? Path.NONE : Path.RELAYED;
    }

    /** Returns how to send a request to an endpoint that hasn't failed. */
    private Path pathToOther(NetworkAddress endpoint) {
        if (failures.size() < MIN_FAILURES || reached.contains(endpoint)) {
            return Path.DIRECT;
        }
        return reached.isEmpty() ? Path.RELAYED : Path.DIRECT_UNCERTAIN;
    }

    /** Returns whether this entry can't reach several endpoints and has reached none since. */
    public synchronized boolean isCutOff(long nowNanos) {
        long current = failures.values().stream()
                .filter(failure -> nowNanos - failure.lastNanos <= FAILURE_MEMORY.toNanos())
                .count();
        return current >= MIN_FAILURES && reached.isEmpty();
    }

    /** Returns whether it is time to test the direct path to the endpoint, and counts the test as made. */
    public synchronized boolean claimProbe(NetworkAddress endpoint, long nowNanos) {
        Failure failure = failures.get(endpoint);
        boolean failedJustNow = failure != null && nowNanos - failure.lastNanos < PROBE_INTERVAL.toNanos();
        Long probed = lastProbeNanos.get(endpoint);
        boolean probedJustNow = probed != null && nowNanos - probed < PROBE_INTERVAL.toNanos();
        if (failedJustNow || probedJustNow) {
            return false;
        }
        lastProbeNanos.put(endpoint, nowNanos);
        return true;
    }

    private void forgetAllIfNothingFails() {
        if (failures.isEmpty()) {
            reached.clear();
            lastProbeNanos.clear();
        }
    }
}
