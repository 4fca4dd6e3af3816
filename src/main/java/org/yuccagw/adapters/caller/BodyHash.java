package org.yuccagw.adapters.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.ServiceName;

/**
 * Hashes what identifies a request: service, method, path and body. Two requests with the same idempotency key are the
 * same request only if their hashes are equal.
 */
final class BodyHash {
    private BodyHash() {}

    /** Returns the SHA-256 in hexadecimal digits. */
    static String of(ServiceName service, String method, String path, byte[] body) {
        return Hashing.sha256()
                .newHasher()
                .putString(service.value() + "\n" + method + "\n" + path + "\n", StandardCharsets.UTF_8)
                .putBytes(body)
                .hash()
                .toString();
    }
}
