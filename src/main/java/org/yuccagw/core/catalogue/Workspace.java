package org.yuccagw.core.catalogue;

import java.util.List;
import org.yuccagw.core.id.WorkspaceId;

/**
 * A workspace of the catalogue.
 *
 * @param id the id of the workspace
 * @param owner the person responsible for the workspace, such as a mail address
 * @param className the request class for services that define none
 * @param limits limits over all entry daemons together
 * @param weight the weight in fair queueing relative to other workspaces, above 0
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of the bearer keys that callers of this workspace may use
 * @param cacheSecret secret that keys the names of the workspace's cache blocks, so that no other workspace can compute
 *     them
 */
public record Workspace(
        WorkspaceId id,
        String owner,
        String className,
        Limits limits,
        double weight,
        List<String> keyHashes,
        String cacheSecret) {
    public Workspace {
        keyHashes = List.copyOf(keyHashes);
    }
}
