package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.port.PeerMessage;

/** The messages between entries about the origins of streams. */
public sealed interface OriginMessage extends PeerMessage {
    /**
     * An origin and how much longer it is needed.
     *
     * @param remaining at most {@link OriginRecords#MAX_RETENTION}
     */
    record Kept(StreamOrigin origin, Duration remaining) {}

    /** The receiver is one of those that keep these origins. */
    record Keep(ImmutableList<Kept> records) implements OriginMessage {}

    /**
     * Asks for the origin of a stream.
     *
     * @param number assigned by the asking entry, unique within its incarnation
     */
    record Ask(long number, StreamQuery query) implements OriginMessage {}

    /** The answer to an {@link Ask}; empty if the entry doesn't know what began the stream. */
    record Answer(long number, Optional<Kept> record) implements OriginMessage {}
}
