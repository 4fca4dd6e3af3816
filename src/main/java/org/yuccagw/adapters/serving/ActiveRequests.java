package org.yuccagw.adapters.serving;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress, so that a graceful stop can wait for them. */
public final class ActiveRequests {
    private final AtomicInteger running = new AtomicInteger();

    private ActiveRequests() {}

    public static ActiveRequests create() {
        return new ActiveRequests();
    }

    void begin() {
        running.incrementAndGet();
    }

    void end() {
        running.decrementAndGet();
    }

    public int count() {
        return running.get();
    }
}
