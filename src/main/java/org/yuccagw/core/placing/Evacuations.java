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
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;

/**
 * The failure domains that operators have evacuated: nothing more is sent to their endpoints until they take it back.
 *
 * <p>What runs there goes on to its end. Callers are waiting for it, and only what begins later is forbidden.
 *
 * <p>Once it is taken back the endpoints count as cold for as long as their service says. Guards against a rush that
 * ends them: they turn cold while nobody uses them, and say so with their next registration only, up to a heartbeat
 * later; until then they look like the emptiest ones of all.
 */
final class Evacuations {
    private final Set<FailureDomain> evacuated = new HashSet<>();
    private final Supplier<Collection<EndpointState>> endpoints;
    private final Function<ServiceName, ColdTraits> cold;

    /**
     * None yet.
     *
     * @param endpoints all that are known
     * @param cold what cold endpoints of a service bear
     */
    Evacuations(Supplier<Collection<EndpointState>> endpoints, Function<ServiceName, ColdTraits> cold) {
        this.endpoints = endpoints;
        this.cold = cold;
    }

    void handle(ControlEvent event, ControlContext context) {
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.DomainEvacuated record) {
            begin(record.domain(), context);
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EvacuationSubject subject) {
            end(subject.domain(), context);
        }
    }

    /** An endpoint has come; it is evacuated if its failure domain is. */
    void adopt(EndpointState endpoint) {
        endpoint.evacuated(evacuated.contains(endpoint.listed().domain()));
    }

    private void begin(FailureDomain domain, ControlContext context) {
        evacuated.add(domain);
        List<EndpointState> inside = in(domain);
        inside.forEach(endpoint -> endpoint.evacuated(true));
        note("domain-evacuated", domain, inside, context);
    }

    private void end(FailureDomain domain, ControlContext context) {
        if (!evacuated.remove(domain)) {
            return;
        }
        List<EndpointState> inside = in(domain);
        inside.forEach(endpoint -> useAgain(endpoint, context.nowNanos()));
        note("domain-evacuation-ended", domain, inside, context);
    }

    private void useAgain(EndpointState endpoint, long nowNanos) {
        endpoint.evacuated(false);
        Duration lasts = cold.apply(endpoint.listed().service()).duration();
        if (!lasts.isZero()) {
            endpoint.coldFor(lasts, nowNanos);
        }
    }

    private List<EndpointState> in(FailureDomain domain) {
        return endpoints.get().stream()
                .filter(endpoint -> endpoint.listed().domain().equals(domain))
                .toList();
    }

    private static void note(
            String decision, FailureDomain domain, List<EndpointState> inside, ControlContext context) {
        context.perform(Decision.of(decision).with("domain", domain).with("endpoints", inside.size()));
    }
}
