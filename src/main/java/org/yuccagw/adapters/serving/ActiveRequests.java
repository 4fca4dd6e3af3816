package org.yuccagw.adapters.serving;

import java.util.concurrent.atomic.AtomicInteger;

/** How many requests are in progress, for a stop that cuts none. */
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

    public int value() {
        return running.get();
    }
}
