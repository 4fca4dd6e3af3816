package org.yuccagw.adapters.caller;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.engine.PlainRequest;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.suspect.SuspectPart;

/**
 * What a caller's request is sent to, and what is sent.
 *
 * @param completionBody present for a model service
 * @param plainRequest present for a plain service
 */
record CallTarget(
        Workspace workspace,
        Service service,
        RequestClass requestClass,
        Optional<CompletionBody> completionBody,
        Optional<PlainRequest> plainRequest) {
    /** Returns the salt of the cache keys that the prompt may share, for a weight version. */
    String salt(String version) {
        String adapter = service.model().map(Service.ModelSettings::adapter).orElse("");
        return BlockChain.salt(workspace.cacheSecret(), service.name().value(), version, adapter);
    }

    /** Returns the parts of the prompt that other prompts may share; none for a plain service. */
    ImmutableSet<SuspectPart> sharedParts() {
        return completionBody.map(CompletionBody::sharedParts).orElse(ImmutableSet.of());
    }

    /** Returns the weight version of the service in the catalogue; empty for a plain service. */
    String catalogueVersion() {
        return service.model().map(settings -> settings.version().value()).orElse("");
    }
}
