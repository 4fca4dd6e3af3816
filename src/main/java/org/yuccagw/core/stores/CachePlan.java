package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The stores from which an endpoint fetches the parts of one prompt and to which it saves them, one element for each
 * part.
 *
 * @param fetchDeadlineMillis deadline of the fetches in milliseconds on the endpoints' clock; the endpoint discards a
 *     fetch that hasn't ended by then
 */
public record CachePlan(
        ImmutableList<Optional<Source>> fetches,
        ImmutableList<Optional<NetworkAddress>> saves,
        long fetchDeadlineMillis) {

    /** A store that holds a part, and the number of the part's tokens that it holds. */
    public record Source(NetworkAddress store, int tokens) {}

    public boolean hasFetch() {
        return fetches.stream().anyMatch(Optional::isPresent);
    }

    public boolean hasSave() {
        return saves.stream().anyMatch(Optional::isPresent);
    }
}
