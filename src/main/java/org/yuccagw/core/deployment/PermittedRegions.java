package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.yuccagw.core.id.Region;

/**
 * The regions in which requests may be served and their cached parts may be kept.
 *
 * <p>A route may be restricted to regions, and so may a workspace. If both are, both restrictions apply: {@code north,
 * south} and {@code south, east} leave {@code south}; {@code north} and {@code south} leave nothing, and such a request
 * can't be served.
 */
public final class PermittedRegions {
    /** Allows every region. */
    public static final PermittedRegions ANYWHERE = new PermittedRegions(Optional.empty());

    private final Optional<ImmutableSet<Region>> regions;

    private PermittedRegions(Optional<ImmutableSet<Region>> regions) {
        this.regions = regions;
    }

    /** Allows these regions only; an empty list allows every region. */
    public static PermittedRegions in(Iterable<Region> regions) {
        ImmutableSet<Region> named = ImmutableSet.copyOf(regions);
        return named.isEmpty() ? ANYWHERE : new PermittedRegions(Optional.of(named));
    }

    /** Returns the regions that both allow. */
    public PermittedRegions intersect(PermittedRegions other) {
        if (!isRestricted()) {
            return other;
        }
        if (!other.isRestricted()) {
            return this;
        }
        return new PermittedRegions(Optional.of(
                Sets.intersection(regions.get(), other.regions.get()).immutableCopy()));
    }

    /** Returns whether the regions are restricted. */
    public boolean isRestricted() {
        return regions.isPresent();
    }

    /** Returns whether a region is allowed; an unknown region is allowed only if the regions aren't restricted. */
    public boolean allows(Optional<Region> region) {
        return regions.isEmpty() || (region.isPresent() && regions.get().contains(region.get()));
    }

    /**
     * Returns a name that is equal for equal regions, for the names of cached parts that must stay in these regions.
     */
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
        return isRestricted() ? name() : "anywhere";
    }
}
