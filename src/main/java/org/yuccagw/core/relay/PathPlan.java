package org.yuccagw.core.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Decides step by step how one request reaches its endpoint: directly, through other entries one after the other, or
 * not at all. A further step is taken only while it is certain that nothing was sent to the endpoint.
 *
 * <p>Not thread-safe.
 */
public final class PathPlan {
    /** Longer than a round trip between two regions; shorter than the time that callers wait for a first token. */
    private static final Duration UNCERTAIN_CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** With most entries cut off, few of those asked can relay. Those that know of their cut say so at once. */
    private static final int MAX_ASKED = 12;

    /** Two entries that couldn't connect may have been cut off just now; three mean that the endpoint is down. */
    private static final int CONFIRMATIONS = 3;

    /** An entry that reaches no other entry either fails its requests soon, so that callers can go elsewhere. */
    private static final int MAX_SILENT = 2;

    private final DirectPaths paths;
    private final RelayChoice choice;
    private final NetworkAddress endpoint;
    private final Set<EntryId> asked = new HashSet<>();
    private int unreached;
    private int silent;

    /** The next thing to do with the request. */
    public sealed interface Step {
        /**
         * Send it directly.
         *
         * @param maxConnectTimeout longest time to connect; empty for the usual one
         */
        record Direct(Optional<Duration> maxConnectTimeout) implements Step {}

        /** Ask another entry to send it. */
        record Via(Relay relay) implements Step {}

        /** Give up: the endpoint can't be reached. */
        record Unreachable() implements Step {}
    }

    private PathPlan(DirectPaths paths, RelayChoice choice, NetworkAddress endpoint) {
        this.paths = paths;
        this.choice = choice;
        this.endpoint = endpoint;
    }

    /** Creates the plan for one request to an endpoint. */
    public static PathPlan of(DirectPaths paths, RelayChoice choice, NetworkAddress endpoint) {
        return new PathPlan(paths, choice, endpoint);
    }

    /** Returns the first step. */
    public Step first(long nowNanos) {
        return switch (paths.pathTo(endpoint, nowNanos)) {
            case DIRECT -> new Step.Direct(Optional.empty());
            case DIRECT_UNCERTAIN -> new Step.Direct(Optional.of(UNCERTAIN_CONNECT_TIMEOUT));
            case RELAYED -> nextRelay(nowNanos);
            case NONE -> new Step.Unreachable();
        };
    }

    /** Returns the step after no connection to the endpoint was established. */
    public Step afterDirectFailure(long nowNanos) {
        paths.recordUnreached(endpoint, nowNanos);
        return paths.pathTo(endpoint, nowNanos) == DirectPaths.Path.RELAYED
                ? nextRelay(nowNanos)
                : new Step.Unreachable();
    }

    /** Returns the step after an entry did not relay the request, which was not sent. */
    public Step afterRelayFailure(Relay relay, RelayOutcome outcome, long nowNanos) {
        if (outcome == RelayOutcome.UNREACHED) {
            unreached++;
        } else {
            choice.markUnsuitable(relay.entry(), nowNanos);
        }
        return unreached < CONFIRMATIONS ? nextRelay(nowNanos) : unreachable(nowNanos);
    }

    /** Records that an entry relayed the request. */
    public void recordRelayed(Relay relay, long nowNanos) {
        choice.markSuitable(relay.entry(), nowNanos);
    }

    /** Returns the step after no connection to an entry was established. */
    public Step afterSilentRelay(Relay relay, long nowNanos) {
        silent++;
        choice.markUnsuitable(relay.entry(), nowNanos);
        return silent < MAX_SILENT ? nextRelay(nowNanos) : unreachable(nowNanos);
    }

    private Step nextRelay(long nowNanos) {
        Optional<Relay> next = asked.size() < MAX_ASKED ? choice.next(asked, nowNanos) : Optional.empty();
        if (next.isEmpty()) {
            return unreachable(nowNanos);
        }
        asked.add(next.get().entry());
        return new Step.Via(next.get());
    }

    private Step unreachable(long nowNanos) {
        paths.recordDown(endpoint, nowNanos);
        return new Step.Unreachable();
    }
}
