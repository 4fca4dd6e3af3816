package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableSet;
import org.yuccagw.core.control.ControlEvent;

/**
 * Raised when an endpoint certainly answered a whole prompt.
 *
 * @param parts the shared parts of the prompt
 */
public record PromptAnswered(ImmutableSet<SuspectPart> parts) implements ControlEvent {}
