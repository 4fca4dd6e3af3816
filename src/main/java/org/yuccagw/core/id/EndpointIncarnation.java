package org.yuccagw.core.id;

/**
 * One start of an endpoint. An endpoint may restart with the same id and then has lost its former state, so all state
 * that is known of an endpoint belongs to one incarnation.
 *
 * <p>Example: {@code engine-1} registers with start 1,000 and leaves. It restarts and registers with start 9,000, which
 * is a new incarnation that accepts requests. A message of another entry about start 1,000 that arrives later concerns
 * the earlier incarnation only.
 *
 * @param startedMillis Unix time of the start in milliseconds, as the endpoint reports it; {@link #UNKNOWN_START} if it
 *     reports none
 */
public record EndpointIncarnation(EndpointId endpoint, long startedMillis) {
    /** The start of endpoints that don't report one. They have a new id at each start. */
    public static final long UNKNOWN_START = 0;

    public static EndpointIncarnation of(EndpointId endpoint, long startedMillis) {
        return new EndpointIncarnation(endpoint, startedMillis);
    }

    /** Returns whether this incarnation started before another one of the same endpoint. */
    public boolean isBefore(EndpointIncarnation other) {
        return startedMillis < other.startedMillis;
    }

    @Override
    public String toString() {
        return startedMillis == UNKNOWN_START ? endpoint.value() : endpoint.value() + '@' + startedMillis;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointIncarnation that
                && endpoint.equals(that.endpoint)
                && startedMillis == that.startedMillis;
    }

    @Override
    public int hashCode() {
        return 31 * endpoint.hashCode() + Long.hashCode(startedMillis);
    }
}
