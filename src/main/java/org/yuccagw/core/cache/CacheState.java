package org.yuccagw.core.cache;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.id.ServiceName;

/**
 * What the cache part and the route part know together; both run on the control thread.
 *
 * <p>The cache part writes it from news of engines and stores, the route part reads it for each request and notes which
 * prompts arrive.
 */
public final class CacheState {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double FIRST_PREFILL_TOKENS_PER_MILLI = 8;

    private final CacheSettings settings;
    private final ReplicaIndex replicas;
    private final ReturnForecast forecast = ReturnForecast.create();
    private final PromptTree prompts;
    private final StoreTable stores = StoreTable.create();
    private final ImportsInProgress imports = new ImportsInProgress();
    private Catalogue catalogue = Catalogue.empty();
    private EndpointsSnapshot endpoints = EndpointsSnapshot.empty();
    private boolean otherEntries;
    private OptionalDouble prefillSpeed = OptionalDouble.empty();

    private CacheState(CacheSettings settings) {
        this.settings = settings;
        this.replicas = ReplicaIndex.of(settings.mostReplicaPairs());
        this.prompts = PromptTree.of(settings.mostTreeBlocks(), forecast);
    }

    public static CacheState of(CacheSettings settings) {
        return new CacheState(settings);
    }

    /** A span of monotonic time in seconds since the clock's own start. */
    public static double seconds(long nowNanos) {
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

    /** Whether prompts may have been served by entries other than this one. */
    public boolean hasOtherEntries() {
        return otherEntries;
    }

    void noteOtherEntries() {
        otherEntries = true;
    }

    /** Prompt tokens that a replica processes in a millisecond, as the route part learned it over all replicas. */
    public double prefillTokensPerMilli() {
        return prefillSpeed.orElse(FIRST_PREFILL_TOKENS_PER_MILLI);
    }

    public void learnPrefillSpeed(double tokensPerMilli) {
        prefillSpeed = OptionalDouble.of(tokensPerMilli);
    }

    /** The settings of a model service of the catalogue. */
    public Optional<Service.ModelSettings> model(ServiceName service) {
        return catalogue.service(service).flatMap(Service::model);
    }

    /** Whether new requests of the scope's service still use its weight version. */
    public boolean isCurrent(PromptScope scope) {
        return model(scope.service())
                .map(model -> model.version().equals(scope.version()))
                .orElse(false);
    }

    /** Bytes of one block when it is moved. */
    long blockBytes(PromptScope scope) {
        return model(scope.service())
                .map(model -> (long) model.blockTokens() * model.bytesPerToken())
                .orElse(0L);
    }

    /** Milliseconds of prefill that one block saves. */
    double blockPrefillMillis(PromptScope scope) {
        return model(scope.service())
                .map(model -> model.blockTokens() / prefillTokensPerMilli())
                .orElse(0.0);
    }

    /** The value of keeping a node's blocks; nothing once their weight version is out of use. */
    double index(PromptNode node, double nowSeconds) {
        return isCurrent(node.scope()) ? prompts.index(node, nowSeconds) : 0;
    }

    /**
     * Whether the store should have a copy of the run. A run that many prompts share is wanted in every store, since
     * what continues it is spread over all; any other in one, its home.
     */
    boolean isWantedIn(StoreTable.Store store, PromptNode node, long nowNanos) {
        if (node.isShared()) {
            return node.copyIn(store.id()).map(PromptNode.Copy::blocks).orElse(0) < node.blocks();
        }
        return node.storedBlocks() < node.blocks()
                && homeStore(node, nowNanos).filter(home -> home == store).isPresent();
    }

    /**
     * The store where a prompt's own blocks go: where their beginning or the run before them is, so that one import can
     * bring all, else by rendezvous hashing over the usable stores, so that all entries choose the same.
     */
    private Optional<StoreTable.Store> homeStore(PromptNode node, long nowNanos) {
        PromptNode above = node;
        while (above != null && !above.isShared()) {
            for (PromptNode.Copy copy : above.copies()) {
                Optional<StoreTable.Store> store = stores.find(copy.store());
                if (store.isPresent() && store.get().isUsable(nowNanos)) {
                    return store;
                }
            }
            above = above.parent();
        }
        return rendezvous(node.key(0), nowNanos);
    }

    /** The usable store with the highest hash of itself and the key. */
    Optional<StoreTable.Store> rendezvous(BlockKey key, long nowNanos) {
        StoreTable.Store best = null;
        long bestHash = Long.MIN_VALUE;
        for (StoreTable.Store store : stores.all()) {
            long hash = Rendezvous.weight(store.id().value(), key);
            if (store.isUsable(nowNanos) && (best == null || hash > bestHash)) {
                best = store;
                bestHash = hash;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Usable stores, for lookups. */
    public List<StoreTable.Store> usableStores(long nowNanos) {
        return stores.all().stream().filter(store -> store.isUsable(nowNanos)).toList();
    }
}
