package org.yuccagw.adapters.caller;

import java.util.concurrent.ThreadLocalRandom;
import org.yuccagw.core.id.RequestId;

/** Generates request ids of 128 random bits, so that ids of different entries don't collide. */
final class RequestIds {
    private RequestIds() {}

    static RequestId next() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return RequestId.of(String.format("%016x%016x", random.nextLong(), random.nextLong()));
    }
}
