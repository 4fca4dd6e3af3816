package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.Region;

/**
 * In which region each failure domain lies, as the settings tell.
 *
 * @param byDomain empty where the settings don't tell
 */
public record DomainRegions(ImmutableMap<FailureDomain, Region> byDomain) {
    /** Nothing is known of regions. */
    public static final DomainRegions UNKNOWN = new DomainRegions(ImmutableMap.of());

    public Optional<Region> of(FailureDomain domain) {
        return Optional.ofNullable(byDomain.get(domain));
    }
}
