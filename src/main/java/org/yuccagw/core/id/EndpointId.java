package org.yuccagw.core.id;

/**
 * The id of an endpoint, which is one process: an engine replica or a process of a plain service.
 *
 * @param value the name under which the platform lists the endpoint, such as {@code assistant-07}
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    public EndpointId {
        Names.requireNonBlank("EndpointId", value);
    }

    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
