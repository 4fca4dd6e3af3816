package org.yuccagw.adapters.caller;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.yuccagw.core.id.RequestId;

/**
 * The requests in progress on this entry. Used to answer requests that repeat the idempotency key of a running one, to
 * report the load to peers, and to stop after the last request.
 *
 * <p>Until the owner of a key has learned that its run has ended, it sends repeats to the run. So a run with a key can
 * still be found for {@link #ENDED_RETENTION} after its end, with its whole answer.
 */
public final class RunRegistry {
    /** Several attempts of an entry to report the end, one a second. */
    private static final Duration ENDED_RETENTION = Duration.ofSeconds(10);

    private static final int MAX_ENDED_RUNS = 500;

    private final LongSupplier nanoClock;
    private final Map<RequestId, CallerRun> runs = new ConcurrentHashMap<>();
    private final LinkedHashMap<RequestId, EndedRun> endedRuns = new LinkedHashMap<>();

    private record EndedRun(CallerRun run, long endedNanos) {}

    private RunRegistry(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    public static RunRegistry create() {
        return withClock(System::nanoTime);
    }

    /** Creates a registry with the given monotonic clock, in nanoseconds. */
    static RunRegistry withClock(LongSupplier nanoClock) {
        return new RunRegistry(nanoClock);
    }

    void add(RequestId request, CallerRun run) {
        runs.put(request, run);
    }

    void remove(RequestId request) {
        runs.remove(request);
    }

    /** Removes a run with an idempotency key, which can still be found for a while. */
    void removeEnded(RequestId request) {
        CallerRun run = runs.remove(request);
        if (run != null) {
            retain(request, run);
        }
    }

    private void retain(RequestId request, CallerRun run) {
        synchronized (endedRuns) {
            endedRuns.put(request, new EndedRun(run, nanoClock.getAsLong()));
            removeExpired();
        }
    }

    Optional<CallerRun> find(RequestId request) {
        CallerRun running = runs.get(request);
        return running != null ? Optional.of(running) : findEnded(request);
    }

    private Optional<CallerRun> findEnded(RequestId request) {
        synchronized (endedRuns) {
            removeExpired();
            return Optional.ofNullable(endedRuns.get(request)).map(EndedRun::run);
        }
    }

    private void removeExpired() {
        long oldest = nanoClock.getAsLong() - ENDED_RETENTION.toNanos();
        int surplus = endedRuns.size() - MAX_ENDED_RUNS;
        Iterator<EndedRun> iterator = endedRuns.values().iterator();
        for (int index = 0; iterator.hasNext(); index++) {
            boolean expired = iterator.next().endedNanos() - oldest < 0;
            if (!expired && index >= surplus) {
                return;
            }
            iterator.remove();
        }
    }

    /** Returns the number of requests in progress. */
    public int count() {
        return runs.size();
    }
}
