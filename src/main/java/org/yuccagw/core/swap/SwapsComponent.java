package org.yuccagw.core.swap;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.endpoint.EndpointReported;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.endpoint.EndpointsChanged;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.shard.ShardAuthority;
import org.yuccagw.core.shard.ShardGained;
import org.yuccagw.core.shard.ShardLost;
import org.yuccagw.core.shard.Shards;

/**
 * Sends orders to endpoints: rolling weight swaps of the pools whose shard this entry owns, and operators' orders.
 *
 * <p>One entry orders the endpoints of a pool: the owner of the shard of the pool's name. Its authority is queried from
 * {@link ShardAuthority} at each step and never cached.
 */
public final class SwapsComponent implements ControlComponent {
    private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

    private final ShardAuthority authority;
    private final TreeMap<String, PoolSwap> pools = new TreeMap<>();
    private final Map<EndpointId, Consumer<OrderEnded.Outcome>> operatorOrders = new HashMap<>();
    private final Map<ShardNumber, Long> ownedShards = new HashMap<>();
    private ControlContext context;
    private EndpointsSnapshot endpoints = EndpointsSnapshot.empty();
    private Optional<NetworkAddress> weightStore = Optional.empty();
    private int configuredShards;
    private boolean stepScheduled;

    private SwapsComponent(ShardAuthority authority) {
        this.authority = authority;
    }

    public static SwapsComponent of(ShardAuthority authority) {
        return new SwapsComponent(authority);
    }

    /** Returns the shard whose owner orders the endpoints of a pool. */
    public static ShardNumber shardOf(String pool, int shardCount) {
        return Shards.of("pool/" + pool, shardCount);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof CatalogueChanged changed) {
            onCatalogue(changed.catalogue());
        } else if (event instanceof EndpointsChanged changed) {
            endpoints = changed.endpoints();
            pools.forEach((pool, swap) -> swap.setEndpoints(endpointsOf(pool)));
        } else if (event instanceof EndpointReported report) {
            pools.values().forEach(swap -> swap.onReport(report));
        } else if (event instanceof OrderEnded ended) {
            onOrderEnded(ended);
        } else if (event instanceof ShardGained gained) {
            ownedShards.put(gained.shard(), gained.epoch());
            scheduleStep();
            pools.forEach((pool, swap) -> notifyIfOwned(pool, swap, gained.shard()));
        } else if (event instanceof ShardLost lost) {
            ownedShards.remove(lost.shard());
            pools.forEach((pool, swap) -> {
                if (shardOf(pool, configuredShards).equals(lost.shard())) {
                    swap.onShardLost();
                }
            });
        } else if (event instanceof PlatformListed list) {
            weightStore = list.vms().stream()
                    .filter(vm -> vm.kind() == VmKind.WEIGHT_STORE && !vm.leaving())
                    .map(PlatformListed.ListedVm::address)
                    .findFirst();
        } else if (event instanceof RoleOrderRequested requested) {
            orderForOperator(requested);
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        ImmutableList<SwapsSnapshot.PoolStatus> statuses = pools.values().stream()
                .flatMap(swap -> swap.status().stream())
                .collect(ImmutableList.toImmutableList());
        snapshot.put(SwapsSnapshot.class, new SwapsSnapshot(statuses));
    }

    private void scheduleStep() {
        if (!stepScheduled) {
            stepScheduled = true;
            context.after(STEP_INTERVAL, this::step);
        }
    }

    private void step() {
        stepScheduled = false;
        if (!ownedShards.isEmpty()) {
            scheduleStep();
        }
        pools.forEach((pool, swap) -> {
            if (swap.currentFencingNumber(authority, shardOf(pool, configuredShards))
                    .isPresent()) {
                swap.step(weightStore);
            }
        });
    }

    private void onCatalogue(Catalogue catalogue) {
        if (configuredShards == 0) {
            configuredShards = catalogue.system().shards();
        }
        Map<String, Service> servicesByPool = new TreeMap<>();
        for (Service service : catalogue.services().values()) {
            if (service.model().isPresent()) {
                servicesByPool.putIfAbsent(service.pool(), service);
            }
        }
        pools.keySet().retainAll(servicesByPool.keySet());
        servicesByPool.forEach((pool, service) -> {
            PoolSwap existing = pools.get(pool);
            if (existing != null) {
                existing.setService(service);
                return;
            }
            PoolSwap added = new PoolSwap(context, pool, () -> authority.authorityEndsNanos(context.nowNanos()));
            added.setService(service);
            added.setEndpoints(endpointsOf(pool));
            pools.put(pool, added);
            notifyIfOwned(pool, added, shardOf(pool, configuredShards));
        });
    }

    private void notifyIfOwned(String pool, PoolSwap swap, ShardNumber shard) {
        Long epoch = ownedShards.get(shard);
        if (epoch != null && shardOf(pool, configuredShards).equals(shard)) {
            swap.onShardGained(epoch);
        }
    }

    private Map<EndpointId, EndpointStatus> endpointsOf(String pool) {
        Map<EndpointId, EndpointStatus> poolEndpoints = new TreeMap<>();
        endpoints.byId().values().stream()
                .filter(endpoint -> endpoint.pool().equals(pool))
                .forEach(endpoint -> poolEndpoints.put(endpoint.id(), endpoint));
        return poolEndpoints;
    }

    // ---- Operators' orders.

    private void orderForOperator(RoleOrderRequested requested) {
        try {
            EndpointStatus endpoint = endpoints
                    .find(requested.endpoint())
                    .orElseThrow(() -> ErrorKind.UNKNOWN_ITEM.raise("endpoint", requested.endpoint()));
            OptionalLong fencing = fencingNumberFor(endpoint.pool());
            if (fencing.isEmpty()) {
                throw ErrorKind.STALE_OWNER.raise("pool '" + endpoint.pool() + "'");
            }
            if (operatorOrders.containsKey(endpoint.id())) {
                throw ErrorKind.ORDER_REFUSED.raise(endpoint.id(), "another order is under way");
            }
            operatorOrders.put(endpoint.id(), outcome -> reply(requested, outcome));
            context.perform(new OrderEndpoint(
                    endpoint.id(),
                    endpoint.address(),
                    OrderKind.CHANGE_ROLE,
                    requested.role(),
                    fencing.getAsLong(),
                    authority.authorityEndsNanos(context.nowNanos()),
                    weightStore));
        } catch (YuccagwException e) {
            context.reply(() -> requested.reply().accept(new RoleOrderRequested.Result.Refused(e)));
        }
    }

    private OptionalLong fencingNumberFor(String pool) {
        PoolSwap swap = pools.get(pool);
        return swap == null
                ? OptionalLong.empty()
                : swap.currentFencingNumber(authority, shardOf(pool, configuredShards));
    }

    private void reply(RoleOrderRequested requested, OrderEnded.Outcome outcome) {
        if (outcome == OrderEnded.Outcome.ACCEPTED) {
            context.reply(() -> requested.reply().accept(new RoleOrderRequested.Result.Accepted()));
            return;
        }
        YuccagwException error = outcome == OrderEnded.Outcome.LOST
                ? ErrorKind.ENDPOINT_FAILED.raise(requested.endpoint(), "no answer to the order; it may be carried out")
                : ErrorKind.ORDER_REFUSED.raise(requested.endpoint(), outcome);
        context.reply(() -> requested.reply().accept(new RoleOrderRequested.Result.Refused(error)));
    }

    private void onOrderEnded(OrderEnded ended) {
        if (ended.kind() == OrderKind.CHANGE_ROLE) {
            Consumer<OrderEnded.Outcome> operator = operatorOrders.remove(ended.endpoint());
            if (operator != null) {
                operator.accept(ended.outcome());
            }
            return;
        }
        pools.values().forEach(swap -> swap.onOrderEnded(ended));
    }
}
