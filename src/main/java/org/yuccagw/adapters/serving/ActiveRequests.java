package org.yuccagw.adapters.serving;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The requests in progress, for which a graceful stop waits. Thread-safe. */
public final class ActiveRequests {
    private final Set<ServingRun> running = ConcurrentHashMap.newKeySet();

    private ActiveRequests() {}

    public static ActiveRequests create() {
        return new ActiveRequests();
    }

    void begin(ServingRun run) {
        running.add(run);
    }

    void end(ServingRun run) {
        running.remove(run);
    }

    public int count() {
        return running.size();
    }

    /** Ends all requests, with an error where no answer has started. Returns before that is done. */
    public void endAll() {
        running.forEach(ServingRun::stop);
    }
}
