package org.yuccagw.core.id;

/**
 * One request of a caller, the same over all attempts that yuccagw makes for it.
 *
 * @param value lower-case hexadecimal, made by the entry that accepted the request
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Names.requirePresent("RequestId", value);
    }

    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
