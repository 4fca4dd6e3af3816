package org.yuccagw.core.membership;

import java.time.Duration;
import java.util.Optional;

/** Decides whether this entry may take new work; implemented by the catalogue component. */
@FunctionalInterface
public interface Readiness {
    /** Returns why this entry isn't ready, as the predicate of a sentence after "this entry "; empty if it is ready. */
    Optional<String> reasonNotReady(long nowNanos);

    /** Returns a readiness without conditions, for a core without a catalogue. */
    static Readiness always() {
        return nowNanos -> Optional.empty();
    }

    /** How long callers may cache the directory, and how long a leaving entry serves callers with a cached one. */
    Duration DIRECTORY_TIME_TO_LIVE = Duration.ofSeconds(5);
}
