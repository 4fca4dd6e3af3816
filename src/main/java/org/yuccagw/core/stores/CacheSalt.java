package org.yuccagw.core.stores;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.WorkspaceAccess;

/**
 * The name under which engines and stores keep parts of prompts; parts are found under the same name only.
 *
 * <p>Guards against two failures. A prompt of an isolated workspace could use what another workspace's prompt left: its
 * name holds the workspace. And a prompt could use what was computed with other weights: the name holds the version,
 * and the request also demands that version of the engine, so that name and weights can't differ. What prompts leave
 * that are bound to some regions has a name of its own as well, so that nobody moves it out of them.
 *
 * <p>Example: {@code s.7} for version 7 of workspaces that share, {@code w.audit.7} for the isolated {@code audit},
 * {@code s.@north+south.7} for prompts that are bound to two regions.
 */
public final class CacheSalt {
    private static final char SEPARATOR = '.';

    private CacheSalt() {}

    /**
     * The name.
     *
     * @param homes of the prompt, by its route and its workspace
     */
    public static String of(Optional<WorkspaceAccess> workspace, PermittedRegions homes, long version) {
        boolean isolated = workspace.map(WorkspaceAccess::isolated).orElse(false);
        String owner = isolated ? "w" + SEPARATOR + workspace.get().id() : "s";
        String bound = homes.isBinding() ? SEPARATOR + "@" + homes.name() : "";
        return owner + bound + SEPARATOR + version;
    }

    /** The version of the weights in a name; empty if the name isn't one of ours. */
    static OptionalLong versionOf(String salt) {
        String digits = salt.substring(salt.lastIndexOf(SEPARATOR) + 1);
        try {
            return OptionalLong.of(Long.parseLong(digits));
        } catch (NumberFormatException foreign) {
            // Not made by an entry, so nothing is known of its use.
            return OptionalLong.empty();
        }
    }
}
