package org.yuccagw.core.placing;

import java.util.Optional;
import org.yuccagw.core.deployment.WorkspaceAccess;

/**
 * The name under which engines and stores keep parts of prompts; parts are found under the same name only.
 *
 * <p>Guards against two failures. A prompt of an isolated workspace could use what another workspace's prompt left: its
 * name holds the workspace. And a prompt could use what was computed with other weights: the name holds the version,
 * and the request also demands that version of the engine, so that name and weights can't differ.
 */
final class CacheSalt {
    private CacheSalt() {}

    static String of(Optional<WorkspaceAccess> workspace, long version) {
        boolean isolated = workspace.map(WorkspaceAccess::isolated).orElse(false);
        return isolated ? "w." + workspace.get().id() + "." + version : "s." + version;
    }
}
