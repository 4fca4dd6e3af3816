package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.Region;

/**
 * The region of each failure domain, according to the settings.
 *
 * @param byDomain region by failure domain; a failure domain is absent if the settings don't contain it
 */
public record DomainRegions(ImmutableMap<FailureDomain, Region> byDomain) {
    /** No region is known. */
    public static final DomainRegions UNKNOWN = new DomainRegions(ImmutableMap.of());

    public Optional<Region> of(FailureDomain domain) {
        return Optional.ofNullable(byDomain.get(domain));
    }
}
