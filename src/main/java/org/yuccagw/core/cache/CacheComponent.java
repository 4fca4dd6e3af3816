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
 * Tracks the contents of the engines' caches and of the cache stores, and decides which blocks are exported, moved
 * between tiers, evicted and prefetched.
 *
 * <p>The tracked state is a hint and may be wrong. Errors in it cost time but can't give a request a wrong block: the
 * engine checks generation, length and checksum of each block before it commits it, and a request can't address a key
 * of another workspace or weight version.
 */
public final class CacheComponent implements ControlComponent {
    private final CacheState state;
    private final CacheEventPoller eventPoller;
    private final ExportPlanner exports;
    private final StoreMaintenance maintenance;
    private final Prefetcher prefetcher;
    private final PlacementBroadcaster broadcaster;

    private CacheComponent(CacheState state) {
        this.state = state;
        this.eventPoller = CacheEventPoller.of(state);
        this.maintenance = StoreMaintenance.of(state);
        this.broadcaster = PlacementBroadcaster.of(state);
        this.exports = ExportPlanner.of(state, maintenance, broadcaster);
        this.prefetcher = Prefetcher.of(state);
    }

    /** Returns a component on the state that it shares with the route component. */
    public static CacheComponent of(CacheState state) {
        return new CacheComponent(state);
    }

    @Override
    public void start(ControlContext context) {
        eventPoller.start(context);
        exports.start(context);
        maintenance.start(context);
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof CatalogueChanged changed) {
            state.setCatalogue(changed.catalogue());
        } else if (event instanceof EndpointsChanged changed) {
            updateEndpoints(changed.endpoints());
        } else if (event instanceof PlatformListed listed) {
            updateStores(listed);
        } else if (event instanceof MembersChanged members) {
            if (members.entries().size() > 1) {
                state.markOtherEntriesSeen();
            }
            maintenance.updateMembers(members);
            broadcaster.updateMembers(members);
        } else if (event instanceof PromptServed served) {
            state.replicas().addBlocks(served.endpoint().id(), served.blocks());
            exports.promptServed(served, context);
        } else if (event instanceof PrefetchRequested requested) {
            prefetcher.prefetchRequested(requested, context);
        } else if (event instanceof EngineCacheUpdate update) {
            handleEngineUpdate(update, context);
        } else if (event instanceof StoreUpdate update) {
            handleStoreUpdate(update, context);
        } else if (event instanceof StoresRequested requested) {
            ImmutableList<StoresRequested.StoreStatus> status = state.stores().status(context.nowNanos());
            context.reply(() -> requested.reply().accept(status));
        } else if (event instanceof PeerReceived received && received.message() instanceof BlocksPlaced placed) {
            broadcaster.received(placed, context);
        }
    }

    private void handleEngineUpdate(EngineCacheUpdate update, ControlContext context) {
        if (update instanceof EngineCacheUpdate.ExportEnded ended) {
            exports.exportEnded(ended, context);
        } else if (update instanceof EngineCacheUpdate.ImportEnded ended) {
            handleImportEnded(ended, context);
        } else {
            eventPoller.handle(update, context);
        }
    }

    private void handleStoreUpdate(StoreUpdate update, ControlContext context) {
        Optional<StoreTable.Store> store = state.stores().find(update.store());
        if (store.isEmpty()) {
            return;
        }
        if (update instanceof StoreUpdate.Failed) {
            store.get().recordFailure(context.nowNanos());
            return;
        }
        store.get().recordSuccess();
        if (update instanceof StoreUpdate.BlocksFound found) {
            PlacementBroadcaster.recordCopies(state, found.store(), found.found());
        } else {
            maintenance.handle(update, store.get(), context);
        }
    }

    /**
     * Updates the state from the outcome of an import: the engine holds the committed blocks, lost or damaged copies
     * are removed, and a failure of the store is recorded.
     */
    private void handleImportEnded(EngineCacheUpdate.ImportEnded ended, ControlContext context) {
        Map<BlockKey, EngineCacheUpdate.ImportFailure> failed = new HashMap<>();
        ended.failed().forEach(block -> failed.put(block.key(), block.reason()));
        var requestedKeys = ended.requested().stream().map(StoredBlock::key).toList();
        state.replicas()
                .addBlocks(
                        ended.endpoint(),
                        requestedKeys.stream()
                                .filter(key -> !failed.containsKey(key))
                                .toList());
        prefetcher.importEnded(ended, context);
        Optional<StoreTable.Store> store = state.stores().find(ended.store());
        if (failed.containsValue(EngineCacheUpdate.ImportFailure.STORE)
                || (ended.imported() == 0 && failed.containsValue(EngineCacheUpdate.ImportFailure.LATE))) {
            store.ifPresent(failedStore -> failedStore.recordFailure(context.nowNanos()));
        } else if (ended.imported() > 0) {
            store.ifPresent(StoreTable.Store::recordSuccess);
        }
        Set<BlockKey> lostKeys = failed.entrySet().stream()
                .filter(entry -> entry.getValue() == EngineCacheUpdate.ImportFailure.GONE
                        || entry.getValue() == EngineCacheUpdate.ImportFailure.DAMAGED)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        if (!lostKeys.isEmpty()) {
            state.prompts().removeCopies(ended.store(), lostKeys);
        }
    }

    /** Removes the blocks of replicas that were removed, were restarted or changed their weight version. */
    private void updateEndpoints(EndpointsSnapshot endpoints) {
        for (EndpointStatus previous : state.endpoints().byId().values()) {
            EndpointStatus current = endpoints.byId().get(previous.id());
            boolean sameCache = current != null
                    && current.incarnation() == previous.incarnation()
                    && (previous.version().isEmpty() || current.version().equals(previous.version()));
            if (!sameCache) {
                state.replicas().remove(previous.id());
            }
        }
        state.setEndpoints(endpoints);
        eventPoller.updateEndpoints(
                endpoints.byId().keySet().stream().sorted().collect(Collectors.<EndpointId>toList()));
    }

    private void updateStores(PlatformListed listed) {
        var listedStores = listed.vms().stream()
                .filter(vm -> vm.kind() == VmKind.STORE)
                .map(vm -> {
                    StoreId id = StoreId.of(vm.name());
                    maintenance.storeListed(state.stores().addOrUpdate(id, vm.address()), vm.incarnation());
                    return id;
                })
                .toList();
        state.stores().retainAll(listedStores);
    }
}
