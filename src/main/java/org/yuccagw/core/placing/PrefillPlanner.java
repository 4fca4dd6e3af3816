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
 * Plans the work that an engine would have to do for a prompt: which parts it holds, which it could fetch, and
 * which remain to be prefilled.
 *
 * <p>A part is usable only together with all parts before it. So the parts fall into three consecutive ranges: held,
 * fetched and prefilled. Held and fetched parts must have been computed with the weight version that the engine runs.
 * They are therefore looked up under the cache salt of that version, not of the newest one: right after newer weights
 * are named, only the engines that still run the older ones can reuse cached parts.
 *
 * <p>Example: a prompt has parts of 500, 8,000 and 3,000 tokens, of which the last one is unshared. The engine holds
 * the first part and a store holds the second one. Then 8,000 tokens are fetched and 3,000 are prefilled.
 */
final class PrefillPlanner {
    private final StoresComponent stores;
    private final EngineCachesComponent caches;

    PrefillPlanner(StoresComponent stores, EngineCachesComponent caches) {
        this.stores = stores;
        this.caches = caches;
    }

    /**
     * Returns the plan for a prompt on an endpoint.
     *
     * @param isPreferred whether the endpoint is the preferred one of the prompt's session. If nothing else is known of
     *     its cache, it counts as holding the shared parts.
     */
    PrefillPlan plan(PlacementRequest request, EndpointState endpoint, EngineTraits engine, boolean isPreferred) {
        PromptShape prompt = request.prompt().orElseThrow();
        String salt = saltFor(request, endpoint);
        List<PromptPart> shared = prompt.sharedParts();
        int index = heldPartCount(prompt, salt, endpoint, isPreferred);
        int heldTokens = tokensOf(shared.subList(0, index));
        int fetchedTokens = 0;
        double fetchMillis = 0;
        while (index < shared.size()) {
            Optional<StoresComponent.Transfer> transfer =
                    stores.transfer(salt, shared.get(index), endpoint.listed().domain(), engine);
            if (transfer.isEmpty()) {
                break;
            }
            fetchedTokens += transfer.get().tokens();
            fetchMillis += transfer.get().millis();
            index++;
        }
        int prefillTokens = Math.max(0, prompt.promptTokens() - heldTokens - fetchedTokens);
        int sharedPrefillTokens = tokensOf(shared.subList(index, shared.size()));
        return new PrefillPlan(prompt.totalTokens(), prefillTokens, sharedPrefillTokens, fetchedTokens, fetchMillis);
    }

    /** Returns the known number of shared parts at the start of the prompt that the endpoint holds. */
    int heldPartCount(PlacementRequest request, EndpointState endpoint) {
        return heldPartCount(request.prompt().orElseThrow(), saltFor(request, endpoint), endpoint, false);
    }

    private int heldPartCount(PromptShape prompt, String salt, EndpointState endpoint, boolean isPreferred) {
        return caches.heldPartCount(endpoint.listed(), prompt, salt)
                .orElse(isPreferred ? prompt.sharedParts().size() : 0);
    }

    private static String saltFor(PlacementRequest request, EndpointState endpoint) {
        String model = request.prompt().orElseThrow().model();
        return CacheSalt.of(
                request.workspace(),
                request.permittedRegions(),
                endpoint.versionOf(model).orElse(0));
    }

    private static int tokensOf(List<PromptPart> parts) {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }
}
