package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Where an endpoint fetches the parts of one prompt from and where it saves them to, one element for each part.
 *
 * @param untilMillis on the endpoints' clock: a fetch that hasn't ended by then is thrown away
 */
public record CachePlan(
        ImmutableList<Optional<Source>> fetches, ImmutableList<Optional<NetworkAddress>> saves, long untilMillis) {

    /** A store and how many tokens of the part it holds. */
    public record Source(NetworkAddress store, int tokens) {}

    public boolean hasFetch() {
        return fetches.stream().anyMatch(Optional::isPresent);
    }

    public boolean hasSave() {
        return saves.stream().anyMatch(Optional::isPresent);
    }
}
