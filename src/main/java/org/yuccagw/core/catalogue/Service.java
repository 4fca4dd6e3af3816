package org.yuccagw.core.catalogue;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WeightVersion;

/**
 * A service of the catalogue: a pool of endpoints under one name.
 *
 * @param name the name that callers use: the model of a completions request, or the first path segment of a plain call
 * @param owner the person responsible for the service
 * @param className the request class of its calls
 * @param limits limits over all entry daemons together
 * @param pool the platform's name of the pool of endpoints
 * @param checksFencing whether the endpoints of the pool refuse orders with an outdated fencing number
 * @param model settings of a model service; empty for a plain service
 * @param nonIdempotentOperations operations that must run at most once; the path of an operation is the path that
 *     callers use for a model service, and the path after the service's name for a plain service
 */
public record Service(
        ServiceName name,
        String owner,
        String className,
        Limits limits,
        String pool,
        boolean checksFencing,
        Optional<ModelSettings> model,
        List<Operation> nonIdempotentOperations) {
    public Service {
        nonIdempotentOperations = List.copyOf(nonIdempotentOperations);
    }

    /** Returns whether a call with this method and path must run at most once. */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotentOperations.stream().anyMatch(operation -> operation.matches(method, path));
    }

    /**
     * A set of operations, defined by method and path prefix.
     *
     * @param method an HTTP method, or {@code *} for any
     * @param pathPrefix the path prefix, with a leading slash
     */
    public record Operation(String method, String pathPrefix) {
        boolean matches(String otherMethod, String path) {
            boolean methodMatches = method.equals("*") || method.equalsIgnoreCase(otherMethod);
            return methodMatches && path.startsWith(pathPrefix);
        }
    }

    /**
     * Additional settings of a model service.
     *
     * @param version the weight version for new requests
     * @param adapter the name of the adapter, or an empty string for none
     * @param swapsAtOnce maximum number of replicas of the pool that load weights concurrently
     * @param replicaFloor minimum number of replicas that must remain able to serve during swaps
     * @param blockTokens size of a cache block in tokens
     * @param bytesPerToken size of the cache of one token in bytes, as transferred between engines and stores
     */
    public record ModelSettings(
            WeightVersion version,
            String adapter,
            int swapsAtOnce,
            int replicaFloor,
            int blockTokens,
            int bytesPerToken) {}
}
