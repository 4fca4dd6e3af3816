package org.yuccagw.adapters.relay;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the requests that an entry relays at a time, and the bytes of their bodies. Thread-safe. */
final class RelayCapacity {
    private static final int MAX_REQUESTS = 128;
    static final long MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong bodyBytes = new AtomicLong();

    boolean fits(long newBodyBytes) {
        return requests.get() < MAX_REQUESTS && bodyBytes.get() + newBodyBytes <= MAX_BODY_BYTES;
    }

    /** Counts a request until its exchange is complete or its connection is closed, whichever comes first. */
    void count(HttpServerExchange exchange, long newBodyBytes) {
        requests.incrementAndGet();
        bodyBytes.addAndGet(newBodyBytes);
        AtomicBoolean over = new AtomicBoolean();
        exchange.addExchangeCompleteListener((completed, next) -> {
            release(over, newBodyBytes);
            next.proceed();
        });
        exchange.getConnection().addCloseListener(connection -> release(over, newBodyBytes));
    }

    private void release(AtomicBoolean over, long releasedBytes) {
        if (over.compareAndSet(false, true)) {
            requests.decrementAndGet();
            bodyBytes.addAndGet(-releasedBytes);
        }
    }

    /** Returns the number of requests in progress. */
    int requests() {
        return requests.get();
    }
}
