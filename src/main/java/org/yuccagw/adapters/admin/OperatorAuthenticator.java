package org.yuccagw.adapters.admin;

import com.google.common.hash.Hashing;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.OperatorKey;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Says which operator a bearer key belongs to.
 *
 * <p>Only hashes are kept. A hash is compared with all of the list, each in constant time, so that the time of a
 * refusal tells nothing about how near a guess was. The bootstrap key counts only while there is no catalogue.
 */
final class OperatorAuthenticator {
    private static final String BEARER = "Bearer ";
    private static final String BOOTSTRAP = "bootstrap";

    private final Optional<String> bootstrapKeyHash;

    private OperatorAuthenticator(Optional<String> bootstrapKeyHash) {
        this.bootstrapKeyHash = bootstrapKeyHash;
    }

    static OperatorAuthenticator of(Optional<String> bootstrapKeyHash) {
        return new OperatorAuthenticator(bootstrapKeyHash);
    }

    /** The operator's name; throws MISSING_KEY or FORBIDDEN. */
    String operator(HeaderMap headers, Catalogue catalogue) throws YuccagwException {
        String header = headers.getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(BEARER)) {
            throw ErrorKind.MISSING_KEY.raise();
        }
        byte[] hash = Hashing.sha256()
                .hashString(header.substring(BEARER.length()), StandardCharsets.UTF_8)
                .toString()
                .getBytes(StandardCharsets.US_ASCII);
        String found = "";
        for (OperatorKey operator : operators(catalogue)) {
            if (MessageDigest.isEqual(hash, operator.keyHash().getBytes(StandardCharsets.US_ASCII))) {
                found = operator.name();
            }
        }
        if (found.isEmpty()) {
            throw ErrorKind.FORBIDDEN.raise("the bearer key belongs to no operator of the catalogue");
        }
        return found;
    }

    private List<OperatorKey> operators(Catalogue catalogue) {
        if (catalogue.revision() > 0) {
            return catalogue.operators();
        }
        return bootstrapKeyHash
                .map(hash -> List.of(new OperatorKey(BOOTSTRAP, hash)))
                .orElse(List.of());
    }
}
