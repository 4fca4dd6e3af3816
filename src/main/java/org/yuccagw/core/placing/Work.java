package org.yuccagw.core.placing;

/**
 * The load that placed requests put on an endpoint. For plain services only the number of requests is counted.
 *
 * @param requests placed and not ended
 * @param tokens of their prompts and expected answers, which occupy the engine's memory
 * @param unreadTokens prompt tokens that the engine still has to prefill before it can start the answers
 */
public record Work(int requests, long tokens, long unreadTokens) {
    public static final Work NONE = new Work(0, 0, 0);

    public static Work ofOne(long tokens, long unreadTokens) {
        return new Work(1, tokens, unreadTokens);
    }

    /** Returns the same work once the answers have started. */
    Work withoutUnreadTokens() {
        return new Work(requests, tokens, 0);
    }

    Work plus(Work other) {
        return new Work(requests + other.requests, tokens + other.tokens, unreadTokens + other.unreadTokens);
    }

    Work minus(Work other) {
        return new Work(requests - other.requests, tokens - other.tokens, unreadTokens - other.unreadTokens);
    }

    /**
     * Returns the work with negative values replaced by zero. Sums of reported loads may become negative when work is
     * transferred between entries in the meantime.
     */
    Work nonNegative() {
        return new Work(Math.max(0, requests), Math.max(0, tokens), Math.max(0, unreadTokens));
    }
}
