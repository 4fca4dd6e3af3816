package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * Requests the state of the cache stores as known to this entry, for an operator. The reply is given exactly once.
 *
 * <p>The state is requested by an event and isn't part of the published snapshot, because operators query it rarely
 * while the load of the links changes with every fetch.
 */
public record StoresRequested(Consumer<ImmutableList<StoreStatus>> reply) implements ControlEvent {
    /**
     * The state of one store.
     *
     * @param usable false during the back-off after failures
     * @param memory usage of the faster tier, as last reported
     * @param disk usage of the slower tier, as last reported
     * @param foregroundBytes bytes now in transfer on its link for waiting requests
     * @param backgroundBytes bytes now in transfer on its link for exports
     */
    public record StoreStatus(
            StoreId store,
            NetworkAddress address,
            boolean usable,
            StoreUpdate.Usage memory,
            StoreUpdate.Usage disk,
            long foregroundBytes,
            long backgroundBytes) {}
}
