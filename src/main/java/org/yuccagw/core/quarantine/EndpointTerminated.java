package org.yuccagw.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.suspect.SuspectPart;

/**
 * Raised when the connection to an endpoint broke while the endpoint ran a prompt, and the endpoint didn't answer
 * afterwards.
 *
 * @param parts shared parts of the prompt
 * @param endpoint the start of the VM of the endpoint
 * @param sentAge time since the prompt was sent
 */
public record EndpointTerminated(
        PromptFingerprint fingerprint, ImmutableSet<SuspectPart> parts, EndpointIncarnation endpoint, Duration sentAge)
        implements ControlEvent {}
