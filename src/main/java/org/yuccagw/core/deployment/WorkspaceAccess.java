package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Who may act for a workspace.
 *
 * @param keys bearer keys
 * @param priority goes before that of the route where present; 0 is the most urgent
 * @param isolated whether it shares no cached part with any other workspace
 * @param homes where its requests may be served
 */
public record WorkspaceAccess(
        WorkspaceId id, ImmutableSet<String> keys, OptionalInt priority, boolean isolated, PermittedRegions homes) {}
