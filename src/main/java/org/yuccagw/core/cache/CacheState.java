package org.yuccagw.core.cache;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.id.ServiceName;

/**
 * State shared by the cache component and the route component, both of which run on the control thread.
 *
 * <p>The cache component updates it from the reports of engines and stores. The route component reads it for each
 * request and records which prompts are requested.
 */
public final class CacheState {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double INITIAL_PREFILL_TOKENS_PER_MILLI = 8;

    private final CacheSettings settings;
    private final ReplicaIndex replicas;
    private final ReturnForecast forecast = ReturnForecast.create();
    private final PromptTree prompts;
    private final StoreTable stores = StoreTable.create();
    private final ImportsInProgress imports = new ImportsInProgress();
    private Catalogue catalogue = Catalogue.empty();
    private EndpointsSnapshot endpoints = EndpointsSnapshot.empty();
    private boolean hasOtherEntries;
    private OptionalDouble prefillTokensPerMilli = OptionalDouble.empty();

    private CacheState(CacheSettings settings) {
        this.settings = settings;
        this.replicas = ReplicaIndex.of(settings.maxReplicaPairs());
        this.prompts = PromptTree.of(settings.maxTreeBlocks(), forecast);
    }

    public static CacheState of(CacheSettings settings) {
        return new CacheState(settings);
    }

    /** Converts a reading of the monotonic clock from nanoseconds to seconds. */
    public static double toSeconds(long nowNanos) {
        return nowNanos / NANOS_PER_SECOND;
    }

    public CacheSettings settings() {
        return settings;
    }

    public ReplicaIndex replicas() {
        return replicas;
    }

    public PromptTree prompts() {
        return prompts;
    }

    public ImportsInProgress imports() {
        return imports;
    }

    public StoreTable stores() {
        return stores;
    }

    public Catalogue catalogue() {
        return catalogue;
    }

    void setCatalogue(Catalogue newCatalogue) {
        catalogue = newCatalogue;
    }

    public EndpointsSnapshot endpoints() {
        return endpoints;
    }

    void setEndpoints(EndpointsSnapshot newEndpoints) {
        endpoints = newEndpoints;
    }

    /** Returns whether entries other than this one may have served prompts. */
    public boolean hasOtherEntries() {
        return hasOtherEntries;
    }

    void markOtherEntriesSeen() {
        hasOtherEntries = true;
    }

    /**
     * Returns the prefill speed of a replica in tokens per millisecond, as estimated by the route component over all
     * replicas.
     */
    public double prefillTokensPerMilli() {
        return prefillTokensPerMilli.orElse(INITIAL_PREFILL_TOKENS_PER_MILLI);
    }

    public void setPrefillTokensPerMilli(double tokensPerMilli) {
        prefillTokensPerMilli = OptionalDouble.of(tokensPerMilli);
    }

    /** Returns the model settings of a service of the catalogue; empty if the service is unknown or has no model. */
    public Optional<Service.ModelSettings> model(ServiceName service) {
        return catalogue.service(service).flatMap(Service::model);
    }

    /** Returns whether new requests to the scope's service still use the scope's weight version. */
    public boolean isCurrent(PromptScope scope) {
        return model(scope.service())
                .map(model -> model.version().equals(scope.version()))
                .orElse(false);
    }

    /** Returns the size of one block in a transfer, in bytes. */
    long blockBytes(PromptScope scope) {
        return model(scope.service())
                .map(model -> (long) model.blockTokens() * model.bytesPerToken())
                .orElse(0L);
    }

    /** Returns the prefill time that a reused block saves, in milliseconds. */
    double blockPrefillMillis(PromptScope scope) {
        return model(scope.service())
                .map(model -> model.blockTokens() / prefillTokensPerMilli())
                .orElse(0.0);
    }

    /** Returns the Gittins index of a node's blocks, 0 once their weight version is no longer in use. */
    double gittinsIndex(PromptNode node, double nowSeconds) {
        return isCurrent(node.scope()) ? prompts.gittinsIndex(node, nowSeconds) : 0;
    }

    /**
     * Returns whether the store should receive a copy of the run or of the rest of it. A run that many prompts share is
     * copied to every store, because the runs that continue it are distributed over all stores. Any other run is copied
     * to its home store only.
     */
    boolean needsCopyIn(StoreTable.Store store, PromptNode node, long nowNanos) {
        if (node.isShared()) {
            return node.copyIn(store.id()).map(PromptNode.Copy::blockCount).orElse(0) < node.blockCount();
        }
        return node.maxCopyBlocks() < node.blockCount()
                && homeStore(node, nowNanos).filter(home -> home == store).isPresent();
    }

    /**
     * Returns the home store of a run that isn't shared: the usable store that holds a copy of the run or of the
     * nearest unshared run before it, so that one import can transfer all of them. Without such a store it is chosen by
     * rendezvous hashing over the usable stores, so that all entries choose the same one.
     */
    private Optional<StoreTable.Store> homeStore(PromptNode node, long nowNanos) {
        PromptNode ancestor = node;
        while (ancestor != null && !ancestor.isShared()) {
            for (PromptNode.Copy copy : ancestor.copies()) {
                Optional<StoreTable.Store> store = stores.find(copy.store());
                if (store.isPresent() && store.get().isUsable(nowNanos)) {
                    return store;
                }
            }
            ancestor = ancestor.parent();
        }
        return rendezvousStore(node.key(0), nowNanos);
    }

    /** Returns the usable store with the highest rendezvous weight for the key. */
    Optional<StoreTable.Store> rendezvousStore(BlockKey key, long nowNanos) {
        StoreTable.Store best = null;
        long bestWeight = Long.MIN_VALUE;
        for (StoreTable.Store store : stores.all()) {
            long weight = Rendezvous.weight(store.id().value(), key);
            if (store.isUsable(nowNanos) && (best == null || weight > bestWeight)) {
                best = store;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the stores that may be used now. */
    public List<StoreTable.Store> usableStores(long nowNanos) {
        return stores.all().stream().filter(store -> store.isUsable(nowNanos)).toList();
    }
}
