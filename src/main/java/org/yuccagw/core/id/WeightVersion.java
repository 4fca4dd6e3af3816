package org.yuccagw.core.id;

/**
 * A version of the weights of a model.
 *
 * @param value the version as written in the catalogue, such as {@code 2026-11-04}
 */
public record WeightVersion(String value) implements Comparable<WeightVersion> {
    public WeightVersion {
        Names.requireNonBlank("WeightVersion", value);
    }

    public static WeightVersion of(String value) {
        return new WeightVersion(value);
    }

    @Override
    public int compareTo(WeightVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
