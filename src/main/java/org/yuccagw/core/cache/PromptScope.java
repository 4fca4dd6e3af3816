package org.yuccagw.core.cache;

import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The workspace, request class, service and weight version of a prompt. Blocks can be reused only by requests of the
 * same workspace, service and version; return forecasts are kept by workspace and class.
 */
public record PromptScope(WorkspaceId workspace, String className, ServiceName service, WeightVersion version) {}
