package org.yuccagw.core.claim;

import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.yuccagw.core.port.KeyValueAnswer;

/**
 * The two checks on which at-most-once execution depends. They are values so that a test or an experiment can disable
 * one and observe the duplicate run that it prevents. Daemons use only {@link #defaults}.
 *
 * @param expectedRevision maps the revision of the head known to the owner to the revision that its commit expects
 * @param confirms whether an answer to a commit proves that the claims in it are recorded
 */
public record ClaimGuards(LongUnaryOperator expectedRevision, Predicate<KeyValueAnswer> confirms) {
    private static final ClaimGuards DEFAULTS =
            new ClaimGuards(revision -> revision, answer -> answer instanceof KeyValueAnswer.Written);

    /** Returns the guards with both checks enabled. */
    public static ClaimGuards defaults() {
        return DEFAULTS;
    }

    public ClaimGuards withExpectedRevision(LongUnaryOperator replacement) {
        return new ClaimGuards(replacement, confirms);
    }

    public ClaimGuards withConfirms(Predicate<KeyValueAnswer> replacement) {
        return new ClaimGuards(expectedRevision, replacement);
    }
}
