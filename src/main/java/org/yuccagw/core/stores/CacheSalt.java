package org.yuccagw.core.stores;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.WorkspaceAccess;

/**
 * The cache salt: the name under which engines and stores keep parts of prompts. A part is found under the salt that it
 * was saved with and under no other.
 *
 * <p>Guards against two failures. A prompt of an isolated workspace could use cached parts of another workspace: the
 * salt contains the workspace. And a prompt could use parts that were computed with other weights: the salt contains
 * the weight version, and the request also demands that version of the engine, so that salt and weights can't differ.
 * Prompts that are restricted to some regions have a salt of their own as well, so that no store or engine copies their
 * parts out of these regions.
 *
 * <p>Example: {@code s.7} for version 7 of workspaces that share their cache, {@code w.audit.7} for the isolated
 * workspace {@code audit}, {@code s.@north+south.7} for prompts that are restricted to two regions.
 */
public final class CacheSalt {
    private static final char SEPARATOR = '.';

    private CacheSalt() {}

    /**
     * Returns the salt of a prompt.
     *
     * @param permittedRegions the regions that the prompt's route and workspace allow
     * @param version the weight version
     */
    public static String of(Optional<WorkspaceAccess> workspace, PermittedRegions permittedRegions, long version) {
        boolean isolated = workspace.map(WorkspaceAccess::isolated).orElse(false);
        String owner = isolated ? "w" + SEPARATOR + workspace.get().id() : "s";
        String bound = permittedRegions.isRestricted() ? SEPARATOR + "@" + permittedRegions.name() : "";
        return owner + bound + SEPARATOR + version;
    }

    /** Returns the weight version in a salt, or empty if no entry made the salt. */
    static OptionalLong versionOf(String salt) {
        String digits = salt.substring(salt.lastIndexOf(SEPARATOR) + 1);
        try {
            return OptionalLong.of(Long.parseLong(digits));
        } catch (NumberFormatException e) {
            // The salt wasn't made by an entry, so its meaning is unknown.
            return OptionalLong.empty();
        }
    }
}
