package org.yuccagw.core.id;

/**
 * The id of an entry daemon, which stays the same over restarts with the same settings.
 *
 * @param value the name in the settings of the entry, such as {@code entry-3}
 */
public record EntryId(String value) implements Comparable<EntryId> {
    public EntryId {
        Names.requireNonBlank("EntryId", value);
    }

    public static EntryId of(String value) {
        return new EntryId(value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EntryId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
