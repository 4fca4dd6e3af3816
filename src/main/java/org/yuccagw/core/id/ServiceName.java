package org.yuccagw.core.id;

/**
 * A service of the catalogue: what callers name, as a model or as a path, to be routed to a pool.
 *
 * @param value the key of the catalogue entry
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    public ServiceName {
        Names.requirePresent("ServiceName", value);
    }

    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
