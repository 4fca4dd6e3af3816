package org.yuccagw.core.id;

/**
 * A failure domain, whose VMs may fail together.
 *
 * @param value the name in settings and on the platform, such as {@code ulemiste}
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    public FailureDomain {
        Names.requireNonBlank("FailureDomain", value);
    }

    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
