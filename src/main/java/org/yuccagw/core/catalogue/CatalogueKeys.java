package org.yuccagw.core.catalogue;

import java.util.Locale;
import org.yuccagw.core.port.KeyValueAnswer;

/** The keys under which the key-value service stores the catalogue. */
final class CatalogueKeys {
    /** The key of the current catalogue and its latest edits, encoded as a {@link StoredCatalogue}. */
    static final String CURRENT = "yuccagw/catalogue";

    private CatalogueKeys() {}

    /** Returns the key of an earlier revision. The number is zero-padded, so that the keys sort by revision. */
    static String history(long revision) {
        return String.format(Locale.ROOT, "yuccagw/history/%012d", revision);
    }

    /** Returns the reason why a call failed, for an error message. */
    static String failureReason(KeyValueAnswer answer) {
        if (answer instanceof KeyValueAnswer.Refused refused) {
            return refused.reason();
        }
        if (answer instanceof KeyValueAnswer.Lost lost) {
            return lost.reason();
        }
        return "unexpected answer " + answer.getClass().getSimpleName();
    }
}
