package org.yuccagw.core.id;

/** The check that all ids share. A missing or blank name is a programming error and never a valid id. */
final class Names {
    private Names() {}

    /** Throws an {@link IllegalArgumentException} if the value is null or blank. */
    static void requireNonBlank(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
