package org.yuccagw.core.follow;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.port.PeerMessage;

/** The messages by which entries tell each other when weights were named. */
public sealed interface NamingMessage extends PeerMessage {
    /**
     * Asks when weights were named.
     *
     * @param round number of the question, which the answer repeats
     */
    record Question(ModelWeights weights, int round) implements NamingMessage {}

    /**
     * States when weights were named, as ages at the time of the answer. Is sent only by an entry that has learnt of
     * the naming.
     *
     * @param maxAge no more time than this has passed since the naming; empty if the sender can't tell
     * @param minAge at least this time has passed
     */
    record Age(ModelWeights weights, int round, Optional<Duration> maxAge, Duration minAge) implements NamingMessage {}
}
