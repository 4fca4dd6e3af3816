package org.yuccagw.core.forward;

import java.util.Optional;

/**
 * The legs of a request that are in progress: the current one, whose answer is forwarded, and at most one replacement,
 * which exists only beside a current one.
 */
final class LegPair {
    private Optional<Leg> current = Optional.empty();
    private Optional<Leg> replacement = Optional.empty();

    Optional<Leg> current() {
        return current;
    }

    Optional<Leg> replacement() {
        return replacement;
    }

    /** Returns the leg with the number if it is in progress. */
    Optional<Leg> find(long number) {
        return current(number).or(() -> replacement.filter(leg -> leg.number() == number));
    }

    /** Returns the current leg if it has the number. */
    Optional<Leg> current(long number) {
        return current.filter(leg -> leg.number() == number);
    }

    boolean isReplacement(long number) {
        return replacement.filter(leg -> leg.number() == number).isPresent();
    }

    /** Adds a leg: as the current one, or as the replacement of the current one. */
    void add(Leg leg) {
        if (current.isPresent()) {
            replacement = Optional.of(leg);
        } else {
            current = Optional.of(leg);
        }
    }

    /** Removes the current leg, whose place the replacement takes if there is one. */
    void removeCurrent() {
        current = replacement;
        replacement = Optional.empty();
    }

    void removeReplacement() {
        replacement = Optional.empty();
    }
}
