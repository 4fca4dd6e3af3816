package org.yuccagw.core.cache;

/** The storage tier of a block in a cache store. */
public enum StoreTier {
    MEMORY,
    DISK;

    /** Returns the name of the tier in the protocol of the stores. */
    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Parses a name of the protocol of the stores. Any name but {@code memory} is read as the slower tier. */
    public static StoreTier of(String text) {
        return text.equals("memory") ? MEMORY : DISK;
    }
}
