package org.yuccagw.core.follow;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.fleet.StoredOrigin;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;

/** The decoded value of one key of the key-value service. */
public sealed interface KeyValueRecord {
    /**
     * Returns whether this record was written before another one of the same key, by what the writer states itself.
     * Decides between records of two eras of the key-value service, whose revisions say nothing about each other.
     *
     * @param removed whether the other record has been removed since
     */
    default boolean isOlderThan(KeyValueRecord other, boolean removed) {
        return false;
    }

    /** The configuration written by operators. */
    record Configured(Deployment deployment) implements KeyValueRecord {
        @Override
        public boolean isOlderThan(KeyValueRecord other, boolean removed) {
            return other instanceof Configured known
                    && deployment.version() < known.deployment().version();
        }
    }

    /** The registration of an endpoint. */
    record EndpointListed(ListedEndpoint endpoint) implements KeyValueRecord {
        /**
         * A registration that hasn't changed since the endpoint was removed is a copy of the removed one. An endpoint
         * that is leaving doesn't return within its incarnation.
         */
        @Override
        public boolean isOlderThan(KeyValueRecord other, boolean removed) {
            if (!(other instanceof EndpointListed known)) {
                return false;
            }
            if (!endpoint.incarnation().equals(known.endpoint().incarnation())) {
                return endpoint.incarnation().isBefore(known.endpoint().incarnation());
            }
            if (endpoint.leaving() != known.endpoint().leaving()) {
                return known.endpoint().leaving();
            }
            return endpoint.heartbeats() < known.endpoint().heartbeats()
                    || (removed && endpoint.heartbeats() == known.endpoint().heartbeats());
        }
    }

    /** The weights that all engines of a model are to run, as named by operators. */
    record WeightsNamed(ModelWeights weights) implements KeyValueRecord {
        @Override
        public boolean isOlderThan(KeyValueRecord other, boolean removed) {
            return other instanceof WeightsNamed known
                    && weights.version() < known.weights().version();
        }
    }

    /** The registration of an entry, written under the entry's lease. */
    record EntryListed(EntryContact contact) implements KeyValueRecord {
        @Override
        public boolean isOlderThan(KeyValueRecord other, boolean removed) {
            return other instanceof EntryListed known
                    && contact.incarnation() < known.contact().incarnation();
        }
    }

    /** The claim of an entry to a duty, written under the entry's lease. */
    record DutyHeld(String duty, EntryId holder, long incarnation) implements KeyValueRecord {}

    /** The evacuation of a failure domain: until the key is removed, no requests are sent to its endpoints. */
    record DomainEvacuated(FailureDomain domain) implements KeyValueRecord {}

    /**
     * What began some of the streams that an entry passed on, written without a lease: it outlasts the entry.
     *
     * @param slot number of the key among those of the entry
     */
    record OriginsStored(EntryId writer, int slot, ImmutableList<StoredOrigin> origins) implements KeyValueRecord {}

    /** What a key identifies; the removal of the key removes the record of this subject. */
    sealed interface Subject {
        record EndpointSubject(EndpointId endpoint) implements Subject {}

        record EntrySubject(EntryId entry) implements Subject {}

        record DutySubject(String duty) implements Subject {}

        record EvacuationSubject(FailureDomain domain) implements Subject {}

        record OriginsSubject(EntryId writer, int slot) implements Subject {}

        /** A key whose removal has no effect. */
        record OtherSubject(String key) implements Subject {}
    }
}
