package org.yuccagw.core.id;

/**
 * The id of a cache store of the platform.
 *
 * @param value the name under which the platform lists the store
 */
public record StoreId(String value) implements Comparable<StoreId> {
    public StoreId {
        Names.requireNonBlank("StoreId", value);
    }

    public static StoreId of(String value) {
        return new StoreId(value);
    }

    @Override
    public int compareTo(StoreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoreId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
