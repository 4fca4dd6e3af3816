package org.yuccagw.core.id;

/**
 * One start of an endpoint. An endpoint may start again under the id that it had; it then knows nothing of before, so
 * whatever is believed of an endpoint is believed of one incarnation.
 *
 * <p>Example: {@code engine-1} registers with start 1,000 and leaves. It starts again and registers with start 9,000:
 * a new incarnation, which is of use. A message of another entry that names start 1,000 arrives after that and is
 * about the earlier one.
 *
 * @param startedMillis Unix time of the start as the endpoint tells it, in milliseconds; {@link #UNTOLD} if it doesn't
 */
public record EndpointIncarnation(EndpointId endpoint, long startedMillis) {
    /** Of endpoints that never tell when they started; they have a new id at each start. */
    public static final long UNTOLD = 0;

    public static EndpointIncarnation of(EndpointId endpoint, long startedMillis) {
        return new EndpointIncarnation(endpoint, startedMillis);
    }

    /** Whether this start came before the other one, of the same endpoint. */
    public boolean isBefore(EndpointIncarnation other) {
        return startedMillis < other.startedMillis;
    }

    @Override
    public String toString() {
        return startedMillis == UNTOLD ? endpoint.value() : endpoint.value() + '@' + startedMillis;
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
