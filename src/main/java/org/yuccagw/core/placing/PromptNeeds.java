package org.yuccagw.core.placing;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stores.CacheSalt;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.StoresComponent;

/**
 * Works out what an engine would have to do for a prompt: which parts it holds, which it could fetch, what is left.
 *
 * <p>A part is of use only with all parts before it. So the parts fall into three runs: held, then fetched, then read.
 * What is held or fetched must have been computed with the weights that the engine runs, so it is looked up under the
 * cache name of its weights, not of the newest ones: right after newer weights are named, the engines that still run
 * the older ones are the ones with something to use.
 *
 * <p>Example: a prompt of parts 500, 8,000 and 3,000 (its own) for an engine that holds the first, while a store holds
 * the second: 8,000 tokens are fetched and 3,000 read.
 */
final class PromptNeeds {
    private final StoresComponent stores;
    private final EngineCachesComponent caches;

    PromptNeeds(StoresComponent stores, EngineCachesComponent caches) {
        this.stores = stores;
        this.caches = caches;
    }

    /**
     * What the endpoint would have to do.
     *
     * @param expected whether it is where the prompt's session is usually sent; it counts as holding the shared parts
     *     if nothing better is known of it
     */
    PromptNeed of(PlacementRequest request, EndpointState endpoint, EngineTraits engine, boolean expected) {
        PromptShape prompt = request.prompt().orElseThrow();
        String salt = saltFor(request, endpoint);
        List<PromptPart> shared = prompt.sharedParts();
        int index = heldPartCount(prompt, salt, endpoint, expected);
        int held = tokensOf(shared.subList(0, index));
        int fetched = 0;
        double millis = 0;
        while (index < shared.size()) {
            Optional<StoresComponent.Transfer> transfer =
                    stores.transfer(salt, shared.get(index), endpoint.listed().domain(), engine);
            if (transfer.isEmpty()) {
                break;
            }
            fetched += transfer.get().tokens();
            millis += transfer.get().millis();
            index++;
        }
        int read = Math.max(0, prompt.promptTokens() - held - fetched);
        int sharedRead = tokensOf(shared.subList(index, shared.size()));
        return new PromptNeed(prompt.totalTokens(), read, sharedRead, fetched, millis);
    }

    /** How many shared parts at the beginning of the prompt the endpoint holds, as far as known. */
    int heldPartCount(PlacementRequest request, EndpointState endpoint) {
        return heldPartCount(request.prompt().orElseThrow(), saltFor(request, endpoint), endpoint, false);
    }

    private int heldPartCount(PromptShape prompt, String salt, EndpointState endpoint, boolean expected) {
        return caches.heldPartCount(endpoint.listed(), prompt, salt)
                .orElse(expected ? prompt.sharedParts().size() : 0);
    }

    private static String saltFor(PlacementRequest request, EndpointState endpoint) {
        String model = request.prompt().orElseThrow().model();
        return CacheSalt.of(
                request.workspace(),
                request.allowedRegions(),
                endpoint.versionOf(model).orElse(0));
    }

    private static int tokensOf(List<PromptPart> parts) {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }
}
