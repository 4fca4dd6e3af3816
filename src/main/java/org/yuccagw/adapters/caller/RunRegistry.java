package org.yuccagw.adapters.caller;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.yuccagw.core.id.RequestId;

/**
 * The requests in progress on this entry. Used to answer requests that repeat the idempotency key of a running one, to
 * report the load to peers, and to stop after the last request.
 */
public final class RunRegistry {
    private final Map<RequestId, CallerRun> runs = new ConcurrentHashMap<>();

    public static RunRegistry create() {
        return new RunRegistry();
    }

    private RunRegistry() {}

    void add(RequestId request, CallerRun run) {
        runs.put(request, run);
    }

    void remove(RequestId request) {
        runs.remove(request);
    }

    Optional<CallerRun> find(RequestId request) {
        return Optional.ofNullable(runs.get(request));
    }

    /** Returns the number of requests in progress. */
    public int count() {
        return runs.size();
    }
}
