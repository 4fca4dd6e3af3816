package org.yuccagw.daemon;

import org.yuccagw.adapters.caller.CallerServer.Prefetcher;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.core.cache.BlockChain;
import org.yuccagw.core.cache.PrefetchRequested;
import org.yuccagw.core.cache.PromptScope;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.catalogue.Service.ModelSettings;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.control.ControlEvent;

/** Makes the event for a caller's hint that a prompt will be asked for soon. */
final class PrefetchEventFactory implements Prefetcher {
    @Override
    public ControlEvent prefetch(Workspace workspace, Service service, CompletionBody body) {
        ModelSettings model = service.model().orElseThrow();
        String className = service.className().isBlank() ? workspace.className() : service.className();
        String salt = BlockChain.salt(
                workspace.cacheSecret(), service.name().value(), model.version().value(), model.adapter());
        PromptScope scope = new PromptScope(workspace.id(), className, service.name(), model.version());
        return new PrefetchRequested(
                scope, BlockChain.keys(salt, body.promptBytes(), model.blockTokens()), brought -> {});
    }
}
