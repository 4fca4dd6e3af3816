package org.yuccagw.standins.store;

import java.util.Locale;

/** A storage tier of a block, in the order in which writes try them. */
enum Tier {
    MEMORY,
    DISK;

    static Tier parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
