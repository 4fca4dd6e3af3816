package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.follow.KeyValueFollowComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;

/**
 * The failure domains that operators have evacuated. Nothing more is sent to their endpoints until the evacuation ends.
 *
 * <p>Requests that already run there continue, because their callers are waiting for them. Only new requests are
 * forbidden.
 *
 * <p>After the evacuation the endpoints count as cold for the duration that their service is configured with. Guards
 * against overloading them: they become cold while they are unused, but report it only in their next registration, up
 * to a heartbeat later. Until then they appear as the least loaded endpoints of all.
 */
final class Evacuations {
    private final Set<FailureDomain> evacuated = new HashSet<>();
    /** The evacuated failure domains whose key hasn't been removed since. */
    private final Set<FailureDomain> listed = new HashSet<>();

    private final Supplier<Collection<EndpointState>> endpoints;
    private final Function<ServiceName, ColdTraits> coldTraits;

    /**
     * Creates an empty set of evacuations.
     *
     * @param endpoints returns all known endpoints
     * @param coldTraits returns the limits of the cold endpoints of a service
     */
    Evacuations(Supplier<Collection<EndpointState>> endpoints, Function<ServiceName, ColdTraits> coldTraits) {
        this.endpoints = endpoints;
        this.coldTraits = coldTraits;
    }

    void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.DomainEvacuated record) {
            evacuate(record.domain(), context);
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EvacuationSubject subject) {
            listed.remove(subject.domain());
            if (removed.afterOutage()) {
                context.after(
                        KeyValueFollowComponent.REREGISTRATION_GRACE,
                        () -> resumeUnlessListed(subject.domain(), context));
            } else {
                resume(subject.domain(), context);
            }
        }
    }

    /** A restored key-value service may lack an evacuation, which operators write again a moment later. */
    private void resumeUnlessListed(FailureDomain domain, ControlContext context) {
        if (!listed.contains(domain)) {
            resume(domain, context);
        }
    }

    /** Marks a newly registered endpoint as evacuated if its failure domain is. */
    void applyTo(EndpointState endpoint) {
        endpoint.setEvacuated(evacuated.contains(endpoint.listed().domain()));
    }

    private void evacuate(FailureDomain domain, ControlContext context) {
        evacuated.add(domain);
        listed.add(domain);
        List<EndpointState> affected = endpointsIn(domain);
        affected.forEach(endpoint -> endpoint.setEvacuated(true));
        logDecision("domain-evacuated", domain, affected, context);
    }

    private void resume(FailureDomain domain, ControlContext context) {
        if (!evacuated.remove(domain)) {
            return;
        }
        List<EndpointState> affected = endpointsIn(domain);
        affected.forEach(endpoint -> resumeUse(endpoint, context.nowNanos()));
        logDecision("domain-evacuation-ended", domain, affected, context);
    }

    private void resumeUse(EndpointState endpoint, long nowNanos) {
        endpoint.setEvacuated(false);
        Duration coldDuration = coldTraits.apply(endpoint.listed().service()).duration();
        if (!coldDuration.isZero()) {
            endpoint.setColdFor(coldDuration, nowNanos);
        }
    }

    private List<EndpointState> endpointsIn(FailureDomain domain) {
        return endpoints.get().stream()
                .filter(endpoint -> endpoint.listed().domain().equals(domain))
                .toList();
    }

    private static void logDecision(
            String decision, FailureDomain domain, List<EndpointState> affected, ControlContext context) {
        context.perform(Decision.of(decision).with("domain", domain).with("endpoints", affected.size()));
    }
}
