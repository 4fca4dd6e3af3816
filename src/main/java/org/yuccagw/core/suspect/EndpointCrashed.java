package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Raised when an endpoint is known to have crashed.
 *
 * @param attempts those of this entry that the endpoint had not answered, possibly none
 */
public record EndpointCrashed(EndpointIncarnation endpoint, ImmutableList<LostAttempt> attempts)
        implements ControlEvent {}
