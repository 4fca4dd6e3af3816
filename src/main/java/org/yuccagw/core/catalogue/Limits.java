package org.yuccagw.core.catalogue;

/**
 * The limits of a workspace or a service, over all entry daemons together. Zero means unlimited.
 *
 * @param concurrentRequests maximum number of requests admitted concurrently
 * @param requestsPerSecond maximum rate of admitted requests
 * @param tokensPerSecond maximum rate of prompt and answer tokens
 */
public record Limits(int concurrentRequests, double requestsPerSecond, double tokensPerSecond) {
    private static final Limits UNLIMITED = new Limits(0, 0, 0);

    public static Limits unlimited() {
        return UNLIMITED;
    }
}
