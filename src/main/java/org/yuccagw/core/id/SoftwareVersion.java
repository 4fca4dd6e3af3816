package org.yuccagw.core.id;

/**
 * The version of the software that an endpoint runs, as opposed to that of its model's weights. Versions have no order.
 *
 * @param value the version as the endpoint states it, such as {@code v1.2}
 */
public record SoftwareVersion(String value) {
    /** The version of all endpoints that state none. */
    public static final SoftwareVersion UNSTATED = of("unstated");

    public SoftwareVersion {
        Names.requireNonBlank("SoftwareVersion", value);
    }

    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
