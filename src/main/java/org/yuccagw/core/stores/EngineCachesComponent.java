package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.CacheStore;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.EngineTraits;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.ratelimit.InternalCalls;

/**
 * Tracks which parts of prompts the engines hold in their own memory, from their cache events.
 *
 * <p>The result is only a hint: an engine decides itself which parts it reuses, so an outdated state costs an unplanned
 * computation and nothing else. Each entry follows only the engines of its own failure domain, since events are many
 * and bytes between failure domains are expensive. An engine accepts few calls for its events, so with many entries
 * each entry follows only some of the engines.
 *
 * <p>Invariant: the state of an engine is dropped when the engine restarts or is no longer listed.
 */
public final class EngineCachesComponent implements ControlComponent {
    private final CacheHolderEvents events;
    private final InternalCalls calls;
    private final Map<StoreId, EndpointIncarnation> engines = new HashMap<>();
    private final Map<EndpointId, ListedEndpoint> listed = new LinkedHashMap<>();
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;

    private EngineCachesComponent(Supplier<List<EntryId>> entries, InternalCalls calls) {
        this.events = CacheHolderEvents.of(entries, this::onEventsLost, new EngineCallPolicy());
        this.calls = calls;
    }

    /**
     * Creates the component of one entry.
     *
     * @param entries the entries that follow the same engines, this one among them
     * @param calls limits the internal calls to each engine
     */
    public static EngineCachesComponent of(Supplier<List<EntryId>> entries, InternalCalls calls) {
        return new EngineCachesComponent(entries, calls);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        events.start(startContext);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof ConfigurationComponent.Applied applied) {
            deployment = Optional.of(applied.deployment());
            updateHolders();
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed record) {
            onListed(record.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            if (listed.remove(subject.endpoint()) != null) {
                updateHolders();
            }
        } else if (event instanceof StoreAnswer.Notice noticed && engines.containsKey(noticed.store())) {
            context.raise(new NoticeReceived(engines.get(noticed.store()), noticed.notice(), false));
        }
        events.handle(event);
    }

    private void onListed(ListedEndpoint endpoint) {
        ListedEndpoint previous = listed.put(endpoint.id(), endpoint);
        boolean isUnchanged = previous != null
                && previous.incarnation().equals(endpoint.incarnation())
                && previous.address().equals(endpoint.address());
        if (!isUnchanged) {
            updateHolders();
        }
    }

    private void updateHolders() {
        ImmutableList.Builder<CacheStore> holders = ImmutableList.builder();
        engines.clear();
        for (ListedEndpoint endpoint : followedEngines()) {
            engines.put(holderId(endpoint), endpoint.incarnation());
            deployment
                    .flatMap(configuration -> configuration.service(endpoint.service()))
                    .flatMap(BackEndService::engine)
                    .ifPresent(traits -> holders.add(holder(endpoint, traits)));
        }
        events.setHolders(holders.build());
    }

    /**
     * Returns the engines of the own failure domain, or all engines if it has none. Events of the others would cross
     * failure domains, a few kilobytes a second from each engine to each entry, and prompts are seldom sent there.
     */
    private List<ListedEndpoint> followedEngines() {
        List<ListedEndpoint> local = listed.values().stream()
                .filter(endpoint -> !endpoint.weights().isEmpty())
                .filter(endpoint -> endpoint.domain().equals(context.self().domain()))
                .toList();
        return local.isEmpty() ? ImmutableList.copyOf(listed.values()) : local;
    }

    /** Makes no calls for events to engines that requested fewer internal calls, since events are optional. */
    private final class EngineCallPolicy implements CacheHolderEvents.CallPolicy {
        @Override
        public boolean allowsCall(CacheStore holder) {
            return !calls.isRestricted(engines.get(holder.id()));
        }

        @Override
        public void recordCall(CacheStore holder) {
            calls.recordCall(engines.get(holder.id()));
        }
    }

    private static StoreId holderId(ListedEndpoint endpoint) {
        return StoreId.of(endpoint.incarnation().toString());
    }

    private static CacheStore holder(ListedEndpoint endpoint, EngineTraits traits) {
        return new CacheStore(
                holderId(endpoint),
                endpoint.address(),
                endpoint.domain(),
                traits.memoryTokens(),
                traits.linkMegabits(),
                traits.maxWatchers(),
                false,
                0);
    }

    /**
     * Returns how many parts at the beginning of the prompt the engine holds, or empty if its contents aren't known at
     * present.
     */
    public Optional<Integer> heldPartCount(ListedEndpoint engine, PromptShape prompt, String salt) {
        return events.find(holderId(engine))
                .filter(stored -> stored.isFresh(context.nowNanos()))
                .map(stored -> countHeldParts(stored, prompt, salt));
    }

    private static int countHeldParts(StoredParts stored, PromptShape prompt, String salt) {
        int count = 0;
        for (PromptPart part : prompt.sharedParts()) {
            if (stored.tokens(salt, part.id()) < part.tokens()) {
                return count;
            }
            count++;
        }
        return count;
    }

    private void onEventsLost(StoredParts stored) {
        events.resumeWithEmptyState(stored);
    }
}
