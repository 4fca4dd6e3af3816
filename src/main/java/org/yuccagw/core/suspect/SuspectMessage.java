package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/** Messages between entries about parts of prompts. Each message may be lost, delayed or duplicated. */
public sealed interface SuspectMessage extends PeerMessage {
    /**
     * An endpoint has crashed.
     *
     * @param attempts those of the sender that it had not answered, possibly none
     */
    record CrashReported(EndpointIncarnation endpoint, ImmutableList<LostAttempt> attempts) implements SuspectMessage {}

    /** Parts of prompts that were answered after endpoints had crashed with them. */
    record PartsCleared(ImmutableSet<SuspectPart> parts) implements SuspectMessage {}

    /** The parts that the sender refuses. */
    record PartsRefused(ImmutableList<Refused> parts) implements SuspectMessage {}

    /**
     * A refused part.
     *
     * @param crashes number of endpoints that crashed with it
     * @param age time since it was refused first
     * @param idle time since the last crash with it or the last request that was refused for it
     */
    record Refused(SuspectPart part, int crashes, Duration age, Duration idle) {}
}
