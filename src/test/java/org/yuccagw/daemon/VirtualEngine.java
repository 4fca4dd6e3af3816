package org.yuccagw.daemon;

import java.time.Duration;
import java.util.ArrayDeque;
import org.yuccagw.bench.control.VirtualTime;

/**
 * An engine in virtual time, as load decisions observe it: it admits prompts in order while its memory has free
 * capacity, prefills one after the other, and then generates tokens, more slowly while it also prefills.
 */
final class VirtualEngine {
    private static final double PREFILL_TOKENS_PER_MILLI = 60;
    private static final double DECODE_STEP_MILLIS = 5;
    private static final double DECODE_STEP_MILLIS_DURING_PREFILL = 20;

    private final VirtualTime time;
    private final long memoryTokens;
    private final ArrayDeque<Request> queue = new ArrayDeque<>();
    private long usedTokens;
    private long prefillEndNanos;
    private boolean silent;

    VirtualEngine(VirtualTime time, long memoryTokens) {
        this.time = time;
        this.memoryTokens = memoryTokens;
    }

    /** The tokens of a request, and the callbacks for its first token and its end. */
    record Request(int promptTokens, int answerTokens, Runnable onFirstToken, Runnable onEnd) {
        long tokens() {
            return (long) promptTokens + answerTokens;
        }
    }

    /** Sets whether the engine stops answering. */
    void setSilent(boolean silence) {
        silent = silence;
    }

    boolean isSilent() {
        return silent;
    }

    void submit(Request request) {
        queue.add(request);
        admit();
    }

    private void admit() {
        while (!queue.isEmpty() && usedTokens + queue.peek().tokens() <= memoryTokens) {
            Request next = queue.remove();
            usedTokens += next.tokens();
            prefill(next);
        }
    }

    private void prefill(Request request) {
        long start = Math.max(prefillEndNanos, time.nowNanos());
        prefillEndNanos = start + nanos(request.promptTokens() / PREFILL_TOKENS_PER_MILLI);
        time.after(Duration.ofNanos(prefillEndNanos - time.nowNanos()), () -> {
            request.onFirstToken().run();
            boolean prefilling = prefillEndNanos > time.nowNanos();
            double step = prefilling ? DECODE_STEP_MILLIS_DURING_PREFILL : DECODE_STEP_MILLIS;
            time.after(Duration.ofNanos(nanos(request.answerTokens() * step)), () -> finish(request));
        });
    }

    private void finish(Request request) {
        usedTokens -= request.tokens();
        request.onEnd().run();
        admit();
    }

    private static long nanos(double millis) {
        return (long) (millis * 1e6);
    }
}
