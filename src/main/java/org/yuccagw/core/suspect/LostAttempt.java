package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * An attempt that its endpoint had not answered when it crashed.
 *
 * @param parts the shared parts of its prompt
 * @param sentAge time since the request was sent
 * @param crashAge time since the connection to the endpoint ended
 */
public record LostAttempt(ImmutableSet<SuspectPart> parts, Duration sentAge, Duration crashAge) {}
