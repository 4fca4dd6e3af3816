package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.yuccagw.core.id.Region;

/**
 * The regions in which requests may be served and what they leave behind may lie.
 *
 * <p>A route may have homes, and so may a workspace. Where both have some, both bind: {@code north, south} and {@code
 * south, east} leave {@code south}; {@code north} and {@code south} leave nothing, and such a request can't be served.
 */
public final class PermittedRegions {
    /** No region is excluded. */
    public static final PermittedRegions ANYWHERE = new PermittedRegions(Optional.empty());

    private final Optional<ImmutableSet<Region>> regions;

    private PermittedRegions(Optional<ImmutableSet<Region>> regions) {
        this.regions = regions;
    }

    /** Only these; none at all means anywhere. */
    public static PermittedRegions in(Iterable<Region> regions) {
        ImmutableSet<Region> named = ImmutableSet.copyOf(regions);
        return named.isEmpty() ? ANYWHERE : new PermittedRegions(Optional.of(named));
    }

    /** What both allow. */
    public PermittedRegions and(PermittedRegions other) {
        if (!isBinding()) {
            return other;
        }
        if (!other.isBinding()) {
            return this;
        }
        return new PermittedRegions(Optional.of(
                Sets.intersection(regions.get(), other.regions.get()).immutableCopy()));
    }

    /** Whether some region is excluded. */
    public boolean isBinding() {
        return regions.isPresent();
    }

    /** Whether a place may be used; one of which the region isn't known only if no region is excluded. */
    public boolean allow(Optional<Region> region) {
        return regions.isEmpty() || (region.isPresent() && regions.get().contains(region.get()));
    }

    /** The same for the same regions, for names of what may lie there only. */
    public String name() {
        return regions.map(named -> ImmutableSortedSet.copyOf(named).stream()
                        .map(Region::value)
                        .collect(Collectors.joining("+")))
                .orElse("");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PermittedRegions that && regions.equals(that.regions);
    }

    @Override
    public int hashCode() {
        return regions.hashCode();
    }

    @Override
    public String toString() {
        return isBinding() ? name() : "anywhere";
    }
}
