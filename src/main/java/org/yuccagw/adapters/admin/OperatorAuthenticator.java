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
 * Authenticates operators by their bearer keys.
 *
 * <p>Only hashes of the keys are stored. The hash of a received key is compared with all hashes of the list, each in
 * constant time, so that the response time doesn't reveal how much of a guessed key is correct. The bootstrap key is
 * valid only while there is no catalogue.
 */
final class OperatorAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String BOOTSTRAP_OPERATOR = "bootstrap";

    private final Optional<String> bootstrapKeyHash;

    private OperatorAuthenticator(Optional<String> bootstrapKeyHash) {
        this.bootstrapKeyHash = bootstrapKeyHash;
    }

    static OperatorAuthenticator of(Optional<String> bootstrapKeyHash) {
        return new OperatorAuthenticator(bootstrapKeyHash);
    }

    /**
     * Returns the name of the operator that the key belongs to.
     *
     * @throws YuccagwException of kind MISSING_KEY without a bearer key, of kind FORBIDDEN when the key is unknown
     */
    String authenticate(HeaderMap headers, Catalogue catalogue) throws YuccagwException {
        String header = headers.getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            throw ErrorKind.MISSING_KEY.raise();
        }
        byte[] hash = Hashing.sha256()
                .hashString(header.substring(BEARER_PREFIX.length()), StandardCharsets.UTF_8)
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
                .map(hash -> List.of(new OperatorKey(BOOTSTRAP_OPERATOR, hash)))
                .orElse(List.of());
    }
}
