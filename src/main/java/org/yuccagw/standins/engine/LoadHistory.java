package org.yuccagw.standins.engine;

import java.util.ArrayDeque;

/** A history of the load, from which the load is reported with a lag. */
final class LoadHistory {
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private long lagNanos;

    private record Sample(long nanos, EngineLoad load) {}

    LoadHistory(long lagNanos) {
        this.lagNanos = lagNanos;
        samples.add(new Sample(Long.MIN_VALUE, new EngineLoad(0, 0, 0)));
    }

    void setLag(long newLagNanos) {
        lagNanos = newLagNanos;
    }

    void add(long nowNanos, EngineLoad load) {
        samples.addLast(new Sample(nowNanos, load));
        discardBefore(nowNanos - lagNanos);
    }

    EngineLoad reportedAt(long nowNanos) {
        discardBefore(nowNanos - lagNanos);
        return samples.peekFirst().load();
    }

    /** Discards samples up to this time, except for the last of them. */
    private void discardBefore(long nanos) {
        while (samples.size() > 1) {
            Sample first = samples.pollFirst();
            if (samples.peekFirst().nanos() > nanos) {
                samples.addFirst(first);
                return;
            }
        }
    }
}
