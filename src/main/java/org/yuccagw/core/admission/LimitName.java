package org.yuccagw.core.admission;

import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.shard.Shards;

/**
 * Names the workspace or service whose limits a share is part of.
 *
 * @param text {@code workspace:NAME} or {@code service:NAME}
 */
public record LimitName(String text) {
    private static final String WORKSPACE_PREFIX = "workspace:";
    private static final String SERVICE_PREFIX = "service:";

    public LimitName {
        if (!text.startsWith(WORKSPACE_PREFIX) && !text.startsWith(SERVICE_PREFIX)) {
            throw new IllegalArgumentException("limits of neither a workspace nor a service: '" + text + "'");
        }
    }

    static LimitName of(WorkspaceId workspace) {
        return new LimitName(WORKSPACE_PREFIX + workspace.value());
    }

    static LimitName of(ServiceName service) {
        return new LimitName(SERVICE_PREFIX + service.value());
    }

    boolean isWorkspace() {
        return text.startsWith(WORKSPACE_PREFIX);
    }

    String name() {
        return text.substring(text.indexOf(':') + 1);
    }

    ShardNumber shard(int shardCount) {
        return Shards.of(text, shardCount);
    }

    @Override
    public String toString() {
        return text;
    }
}
