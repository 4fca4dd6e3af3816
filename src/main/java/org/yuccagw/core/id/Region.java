package org.yuccagw.core.id;

/**
 * A region, which is a group of failure domains that are close to each other.
 *
 * @param value the name in settings and configuration, such as {@code tallinn}
 */
public record Region(String value) implements Comparable<Region> {
    public Region {
        Names.requireNonBlank("Region", value);
    }

    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Region that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
