package org.yuccagw.core.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Hash that identifies equal requests when terminations of endpoints are counted: over the workspace and the whole
 * body.
 *
 * @param value 32 lower-case hexadecimal digits
 */
public record PromptFingerprint(String value) {
    /** Returns the fingerprint of a request body as the caller sent it. */
    public static PromptFingerprint of(WorkspaceId workspace, byte[] body) {
        return new PromptFingerprint(Hashing.sha256()
                .newHasher()
                .putString(workspace.value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(body)
                .hash()
                .toString()
                .substring(0, 32));
    }
}
