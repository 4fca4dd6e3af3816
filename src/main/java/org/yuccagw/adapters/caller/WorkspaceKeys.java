package org.yuccagw.adapters.caller;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Maps bearer keys to workspaces, for one revision of the catalogue.
 *
 * <p>Keys are looked up by the first half of their SHA-256, and the full hashes are compared in constant time, so that
 * response times reveal nothing about a key.
 */
final class WorkspaceKeys {
    private static final String BEARER = "Bearer ";
    /** Hexadecimal digits of a hash that are used for the lookup. */
    private static final int PREFIX_DIGITS = 32;

    private final Catalogue catalogue;
    private final ImmutableMap<String, WorkspaceKey> byHashPrefix;

    private record WorkspaceKey(String hash, Workspace workspace) {}

    private WorkspaceKeys(Catalogue catalogue, ImmutableMap<String, WorkspaceKey> byHashPrefix) {
        this.catalogue = catalogue;
        this.byHashPrefix = byHashPrefix;
    }

    static WorkspaceKeys of(Catalogue catalogue) {
        Map<String, WorkspaceKey> byPrefix = new HashMap<>();
        for (Workspace workspace : catalogue.workspaces().values()) {
            for (String hash : workspace.keyHashes()) {
                byPrefix.put(hash.substring(0, PREFIX_DIGITS), new WorkspaceKey(hash, workspace));
            }
        }
        return new WorkspaceKeys(catalogue, ImmutableMap.copyOf(byPrefix));
    }

    /** Returns whether the keys are those of the given catalogue's revision. */
    boolean isForRevisionOf(Catalogue other) {
        return catalogue.revision() == other.revision();
    }

    /**
     * Returns the workspace of the caller.
     *
     * @param authorization the authorization header, or null
     * @throws YuccagwException of kind MISSING_KEY or WRONG_KEY
     */
    Workspace require(String authorization) throws YuccagwException {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            throw ErrorKind.MISSING_KEY.raise();
        }
        String key = authorization.substring(BEARER.length()).trim();
        String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        WorkspaceKey candidate = byHashPrefix.get(hash.substring(0, PREFIX_DIGITS));
        if (candidate == null || !hashesEqual(candidate.hash(), hash)) {
            throw ErrorKind.WRONG_KEY.raise();
        }
        return candidate.workspace();
    }

    private static boolean hashesEqual(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
    }
}
