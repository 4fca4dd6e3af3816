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
 * What engines hold in their own memory, as their cache events tell.
 *
 * <p>A hint only: an engine decides itself what it reuses, so a belief that is out of date costs a computation that
 * wasn't foreseen and nothing else. Each entry follows the engines of its own failure domain only, since events are
 * many and bytes between domains dear; and an engine takes few calls for its events, so of many entries each follows
 * some.
 *
 * <p>Invariant: what is believed of an engine ends when it starts again or is not listed any more.
 */
public final class EngineCachesComponent implements ControlComponent {
    private final CacheHolderEvents events;
    private final InternalCalls calls;
    private final Map<StoreId, EndpointIncarnation> engines = new HashMap<>();
    private final Map<EndpointId, ListedEndpoint> listed = new LinkedHashMap<>();
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;

    private EngineCachesComponent(Supplier<List<EntryId>> entries, InternalCalls calls) {
        this.events = CacheHolderEvents.of(entries, this::goOn, new EngineCalls());
        this.calls = calls;
    }

    /**
     * The knowledge of one entry.
     *
     * @param entries those that follow the same engines, this one among them
     * @param calls what engines bear of calls that are no requests
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
            adopt();
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed record) {
            list(record.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            if (listed.remove(subject.endpoint()) != null) {
                adopt();
            }
        } else if (event instanceof StoreAnswer.Noticed noticed && engines.containsKey(noticed.store())) {
            context.raise(new NoticeReceived(engines.get(noticed.store()), noticed.notice(), false));
        }
        events.handle(event);
    }

    private void list(ListedEndpoint endpoint) {
        ListedEndpoint known = listed.put(endpoint.id(), endpoint);
        boolean same = known != null
                && known.incarnation().equals(endpoint.incarnation())
                && known.address().equals(endpoint.address());
        if (!same) {
            adopt();
        }
    }

    private void adopt() {
        ImmutableList.Builder<CacheStore> holders = ImmutableList.builder();
        engines.clear();
        for (ListedEndpoint endpoint : followed()) {
            engines.put(holderId(endpoint), endpoint.incarnation());
            deployment
                    .flatMap(known -> known.service(endpoint.service()))
                    .flatMap(BackEndService::engine)
                    .ifPresent(traits -> holders.add(holder(endpoint, traits)));
        }
        events.adopt(holders.build());
    }

    /**
     * The engines of the own failure domain, or all if it has none. Events of the others would cross domains, a few
     * kilobytes a second from each engine to each entry, and prompts are seldom sent there.
     */
    private List<ListedEndpoint> followed() {
        List<ListedEndpoint> near = listed.values().stream()
                .filter(endpoint -> !endpoint.weights().isEmpty())
                .filter(endpoint -> endpoint.domain().equals(context.self().domain()))
                .toList();
        return near.isEmpty() ? ImmutableList.copyOf(listed.values()) : near;
    }

    /** Calls for events, which are only a help, leave engines alone that ask for fewer calls. */
    private final class EngineCalls implements CacheHolderEvents.Calls {
        @Override
        public boolean may(CacheStore holder) {
            return !calls.isRestricted(engines.get(holder.id()));
        }

        @Override
        public void made(CacheStore holder) {
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
                traits.mostWatchers(),
                false,
                0);
    }

    /** How many parts at the beginning of the prompt the engine holds; empty if it isn't known at present. */
    public Optional<Integer> heldParts(ListedEndpoint engine, PromptShape prompt, String salt) {
        return events.of(holderId(engine))
                .filter(stored -> stored.isFresh(context.nowNanos()))
                .map(stored -> countHeld(stored, prompt, salt));
    }

    private static int countHeld(StoredParts stored, PromptShape prompt, String salt) {
        int count = 0;
        for (PromptPart part : prompt.sharedParts()) {
            if (stored.tokens(salt, part.id()) < part.tokens()) {
                return count;
            }
            count++;
        }
        return count;
    }

    private void goOn(StoredParts stored) {
        events.goOnKnowingNothing(stored);
    }
}
