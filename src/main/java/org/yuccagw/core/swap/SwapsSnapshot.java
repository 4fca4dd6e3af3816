package org.yuccagw.core.swap;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.id.EndpointId;

/** Weight swaps of the pools whose endpoints this entry orders. */
public record SwapsSnapshot(ImmutableList<PoolStatus> pools) {
    /**
     * The progress of one pool.
     *
     * @param version the weight version in the catalogue
     * @param matching number of endpoints that run the weights in the catalogue
     * @param other number of endpoints that don't
     * @param permitted endpoints that have a permit to load
     * @param held why no further endpoint may begin, empty if nothing prevents it
     */
    public record PoolStatus(
            String pool, String version, int matching, int other, ImmutableList<EndpointId> permitted, String held) {}
}
