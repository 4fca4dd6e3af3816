package org.yuccagw.core.follow;

import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/** What one key of the key-value service says. */
public sealed interface KeyValueRecord {
    /** What operators configured. */
    record Configured(Deployment deployment) implements KeyValueRecord {}

    /** An endpoint registered itself. */
    record EndpointListed(ListedEndpoint endpoint) implements KeyValueRecord {}

    /** Operators named weights that all engines of the model are to run. */
    record WeightsNamed(ModelWeights weights) implements KeyValueRecord {}

    /** An entry registered itself under its lease. */
    record EntryListed(EntryContact contact) implements KeyValueRecord {}

    /** An entry holds a duty under its lease. */
    record DutyHeld(String duty, EntryId holder, long incarnation) implements KeyValueRecord {}

    /** Operators want nothing more sent to the endpoints of a failure domain, until the key is removed. */
    record DomainEvacuated(FailureDomain domain) implements KeyValueRecord {}

    /** The key that says a fact is gone, and with it the fact. */
    sealed interface Subject {
        record EndpointSubject(EndpointId endpoint) implements Subject {}

        record EntrySubject(EntryId entry) implements Subject {}

        record DutySubject(String duty) implements Subject {}

        record EvacuationSubject(FailureDomain domain) implements Subject {}

        /** A key whose removal means nothing. */
        record OtherSubject(String key) implements Subject {}
    }
}
