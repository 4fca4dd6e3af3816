package org.yuccagw.core.origin;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.SetMultimap;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * The software versions that endpoints of each service have run lately, by their registrations. If a service had one
 * version for longer than a stream lasts, that version has begun it.
 */
final class ListedSoftware {
    private final Map<EndpointId, ListedEndpoint> listed = new HashMap<>();
    private final Map<ServiceSoftware, Long> unlistedNanos = new HashMap<>();
    private OptionalLong followedSinceNanos = OptionalLong.empty();

    private record ServiceSoftware(ServiceName service, SoftwareVersion software) {
        static ServiceSoftware of(ListedEndpoint endpoint) {
            return new ServiceSoftware(endpoint.service(), endpoint.software());
        }
    }

    /** Records a registration; returns whether its endpoint is new or has other software than before. */
    boolean recordListed(ListedEndpoint endpoint, long nowNanos) {
        if (followedSinceNanos.isEmpty()) {
            followedSinceNanos = OptionalLong.of(nowNanos);
        }
        ListedEndpoint previous = listed.put(endpoint.id(), endpoint);
        if (previous != null) {
            unlistedNanos.put(ServiceSoftware.of(previous), nowNanos);
        }
        return previous == null || !ServiceSoftware.of(previous).equals(ServiceSoftware.of(endpoint));
    }

    /** Records that registrations may have come and gone unseen. */
    void recordGap(long nowNanos) {
        followedSinceNanos = OptionalLong.of(nowNanos);
    }

    /**
     * Returns whether an endpoint has started again with other software since a request was sent to it, so that either
     * start may have answered.
     */
    boolean isAmbiguous(EndpointIncarnation sentTo, SoftwareVersion software) {
        ListedEndpoint current = listed.get(sentTo.endpoint());
        return current != null
                && !current.incarnation().equals(sentTo)
                && !current.software().equals(software);
    }

    void recordUnlisted(EndpointId endpoint, long nowNanos) {
        ListedEndpoint previous = listed.remove(endpoint);
        if (previous != null) {
            unlistedNanos.put(ServiceSoftware.of(previous), nowNanos);
        }
    }

    /**
     * Returns the version that endpoints of a service have run for all of the given time; empty if there may have been
     * several.
     */
    Optional<SoftwareVersion> onlyVersionOf(ServiceName service, Duration time, long nowNanos) {
        unlistedNanos.values().removeIf(since -> nowNanos - since > OriginRecords.MAX_RETENTION.toNanos());
        boolean followedLongEnough =
                followedSinceNanos.isPresent() && nowNanos - followedSinceNanos.getAsLong() > time.toNanos();
        if (!followedLongEnough) {
            return Optional.empty();
        }
        Set<SoftwareVersion> versions = new HashSet<>();
        listed.values().forEach(each -> addIfOf(service, ServiceSoftware.of(each), versions));
        unlistedNanos.forEach((each, since) -> {
            if (nowNanos - since <= time.toNanos()) {
                addIfOf(service, each, versions);
            }
        });
        return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }

    /** Returns the services whose endpoints have run several versions while a present stream may have begun. */
    ImmutableSet<ServiceName> servicesWithSeveralVersions(long nowNanos) {
        unlistedNanos.values().removeIf(since -> nowNanos - since > OriginRecords.MAX_RETENTION.toNanos());
        SetMultimap<ServiceName, SoftwareVersion> versions = HashMultimap.create();
        listed.values().forEach(each -> versions.put(each.service(), each.software()));
        unlistedNanos.keySet().forEach(each -> versions.put(each.service(), each.software()));
        return versions.keySet().stream()
                .filter(service -> versions.get(service).size() > 1)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static void addIfOf(ServiceName service, ServiceSoftware each, Set<SoftwareVersion> versions) {
        if (each.service().equals(service)) {
            versions.add(each.software());
        }
    }
}
