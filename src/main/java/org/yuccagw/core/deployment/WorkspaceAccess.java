package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The access rules of a workspace.
 *
 * @param keys bearer keys that callers may use
 * @param priority overrides that of the route if present; 0 is the most urgent
 * @param isolated whether it shares no cached part with any other workspace
 * @param permittedRegions the regions in which its requests may be served
 */
public record WorkspaceAccess(
        WorkspaceId id,
        ImmutableSet<String> keys,
        OptionalInt priority,
        boolean isolated,
        PermittedRegions permittedRegions) {}
