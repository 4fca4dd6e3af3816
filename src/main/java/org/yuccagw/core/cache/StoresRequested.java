package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * An operator wants to know what this entry holds true of the cache stores. The reply comes exactly once.
 *
 * <p>An event and no part of the snapshot, since operators ask rarely and links change with every fetch.
 */
public record StoresRequested(Consumer<ImmutableList<StoreStatus>> reply) implements ControlEvent {
    /**
     * One store.
     *
     * @param usable false for a while after failures
     * @param memory its faster tier, as last reported
     * @param disk its slower tier
     * @param foregroundBytes bytes on its link now for requests that wait
     * @param backgroundBytes bytes on its link now for exports
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
