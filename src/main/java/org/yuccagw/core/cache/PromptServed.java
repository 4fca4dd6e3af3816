package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointStatus;

/**
 * An engine completed its answer to a prompt and therefore holds the prompt's blocks. Raised by the route component.
 */
public record PromptServed(EndpointStatus endpoint, PromptScope scope, ImmutableList<BlockKey> blocks)
        implements ControlEvent {}
