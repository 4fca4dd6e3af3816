package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.EndpointsChanged;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Keeps what is known of the caches, and decides what is exported, moved, evicted and fetched ahead.
 *
 * <p>Nothing here decides what a request may read: the engine checks generation, length and checksum of every block
 * before it commits it, and a key of another workspace or weight version can't be named. All that is known here may be
 * wrong, and then costs time only.
 */
public final class CacheComponent implements ControlComponent {
    private final CacheState state;
    private final ReplicaReader replicaReader;
    private final ExportPlanner exports;
    private final StoreMaintenance maintenance;
    private final Prefetcher prefetcher;
    private final PlacementBroadcaster broadcaster;

    private CacheComponent(CacheState state) {
        this.state = state;
        this.replicaReader = ReplicaReader.of(state);
        this.maintenance = StoreMaintenance.of(state);
        this.broadcaster = PlacementBroadcaster.of(state);
        this.exports = ExportPlanner.of(state, maintenance, broadcaster);
        this.prefetcher = Prefetcher.of(state);
    }

    /** The part over the state that it shares with the route part. */
    public static CacheComponent of(CacheState state) {
        return new CacheComponent(state);
    }

    @Override
    public void start(ControlContext context) {
        replicaReader.start(context);
        exports.start(context);
        maintenance.start(context);
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof CatalogueChanged changed) {
            state.setCatalogue(changed.catalogue());
        } else if (event instanceof EndpointsChanged changed) {
            takeEndpoints(changed.endpoints());
        } else if (event instanceof PlatformListed listed) {
            takeStores(listed);
        } else if (event instanceof MembersChanged members) {
            if (members.entries().size() > 1) {
                state.noteOtherEntries();
            }
            maintenance.takeMembers(members);
            broadcaster.takeMembers(members);
        } else if (event instanceof PromptServed served) {
            state.replicas().learn(served.endpoint().id(), served.blocks());
            exports.served(served, context);
        } else if (event instanceof PrefetchRequested asked) {
            prefetcher.asked(asked, context);
        } else if (event instanceof EngineCacheUpdate news) {
            takeReplicaNews(news, context);
        } else if (event instanceof StoreUpdate news) {
            takeStoreNews(news, context);
        } else if (event instanceof StoresRequested asked) {
            ImmutableList<StoresRequested.StoreStatus> status = state.stores().status(context.nowNanos());
            context.reply(() -> asked.reply().accept(status));
        } else if (event instanceof PeerReceived received && received.message() instanceof BlocksPlaced placed) {
            broadcaster.received(placed, context);
        }
    }

    private void takeReplicaNews(EngineCacheUpdate news, ControlContext context) {
        if (news instanceof EngineCacheUpdate.ExportEnded ended) {
            exports.ended(ended, context);
        } else if (news instanceof EngineCacheUpdate.ImportEnded ended) {
            takeImport(ended, context);
        } else {
            replicaReader.handle(news, context);
        }
    }

    private void takeStoreNews(StoreUpdate news, ControlContext context) {
        Optional<StoreTable.Store> store = state.stores().find(news.store());
        if (store.isEmpty()) {
            return;
        }
        if (news instanceof StoreUpdate.Failed) {
            store.get().fail(context.nowNanos());
            return;
        }
        store.get().succeed();
        if (news instanceof StoreUpdate.BlocksFound found) {
            PlacementBroadcaster.note(state, found.store(), found.found());
        } else {
            maintenance.handle(news, store.get(), context);
        }
    }

    /** What an import showed: blocks that are there now, copies that are gone, a store that fails. */
    private void takeImport(EngineCacheUpdate.ImportEnded ended, ControlContext context) {
        Map<BlockKey, EngineCacheUpdate.ImportFailure> failed = new HashMap<>();
        ended.failed().forEach(block -> failed.put(block.key(), block.reason()));
        var keys = ended.asked().stream().map(StoredBlock::key).toList();
        state.replicas()
                .learn(
                        ended.endpoint(),
                        keys.stream().filter(key -> !failed.containsKey(key)).toList());
        prefetcher.importEnded(ended, context);
        Optional<StoreTable.Store> store = state.stores().find(ended.store());
        if (failed.containsValue(EngineCacheUpdate.ImportFailure.STORE)
                || (ended.imported() == 0 && failed.containsValue(EngineCacheUpdate.ImportFailure.LATE))) {
            store.ifPresent(lost -> lost.fail(context.nowNanos()));
        } else if (ended.imported() > 0) {
            store.ifPresent(StoreTable.Store::succeed);
        }
        Set<BlockKey> gone = failed.entrySet().stream()
                .filter(entry -> entry.getValue() == EngineCacheUpdate.ImportFailure.GONE
                        || entry.getValue() == EngineCacheUpdate.ImportFailure.DAMAGED)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        if (!gone.isEmpty()) {
            state.prompts().dropCopies(ended.store(), gone);
        }
    }

    /** Forgets what replicas held that are gone, restarted, or run other weights now. */
    private void takeEndpoints(EndpointsSnapshot endpoints) {
        for (EndpointStatus before : state.endpoints().byId().values()) {
            EndpointStatus now = endpoints.byId().get(before.id());
            boolean sameCache = now != null
                    && now.incarnation() == before.incarnation()
                    && (before.version().isEmpty() || now.version().equals(before.version()));
            if (!sameCache) {
                state.replicas().forget(before.id());
            }
        }
        state.setEndpoints(endpoints);
        replicaReader.takeEndpoints(
                endpoints.byId().keySet().stream().sorted().collect(Collectors.<EndpointId>toList()));
    }

    private void takeStores(PlatformListed listed) {
        var names = listed.vms().stream()
                .filter(vm -> vm.kind() == VmKind.STORE)
                .map(vm -> {
                    StoreId id = StoreId.of(vm.name());
                    maintenance.listed(state.stores().list(id, vm.address()), vm.incarnation());
                    return id;
                })
                .toList();
        state.stores().retain(names);
    }
}
