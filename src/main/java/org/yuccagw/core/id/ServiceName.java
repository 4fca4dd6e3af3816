package org.yuccagw.core.id;

/**
 * The name of a service. Callers name a service by model or by path, and requests are routed to its pool of endpoints.
 *
 * @param value the key of the service in the catalogue
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    public ServiceName {
        Names.requireNonBlank("ServiceName", value);
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
