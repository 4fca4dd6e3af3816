package org.yuccagw.faults;

/** The faults in force at one proxy. Used on its event loop thread only. */
final class ProxyRules {
    private static final double NANOS_PER_SECOND = 1e9;

    private long delayNanos;
    private double bytesPerSecond = Double.POSITIVE_INFINITY;
    private int answersToDrop;

    void clear() {
        delayNanos = 0;
        bytesPerSecond = Double.POSITIVE_INFINITY;
        answersToDrop = 0;
    }

    long delayNanos() {
        return delayNanos;
    }

    void setDelayNanos(long nanos) {
        delayNanos = nanos;
    }

    void setBytesPerSecond(double rate) {
        bytesPerSecond = rate;
    }

    void setAnswersToDrop(int count) {
        answersToDrop = count;
    }

    long transferNanos(int bytes) {
        return (long) (bytes * NANOS_PER_SECOND / bytesPerSecond);
    }

    /** Returns whether the answer that begins is to be dropped, and counts it. */
    boolean dropNextAnswer() {
        if (answersToDrop == 0) {
            return false;
        }
        answersToDrop--;
        return true;
    }
}
