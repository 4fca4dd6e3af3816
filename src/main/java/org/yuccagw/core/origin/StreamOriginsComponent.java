package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.CopyConfirmed;
import org.yuccagw.core.follow.CopyReplaced;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;

/**
 * Remembers which software version began each stream that a caller may take up.
 *
 * <p>The entry that forwards the first event of a stream keeps its origin and tells it to three others, which a hash of
 * the request selects. An entry that doesn't know a stream asks those. When entries come or go, those that have an
 * origin tell it to the entries that are selected now. All origins expire.
 *
 * <p>If all entries end at once, those that start read the origins from the key-value service; see {@link
 * OriginStorage}. A stream that nobody knows may go on only if this entry has seen no other version of the service for
 * {@link OriginRecords#MAX_RETENTION}; see {@link OnlyVersion}. Nothing shorter bounds the age of a stream: callers
 * choose their time limits, and an entry that has just started hasn't seen any.
 *
 * <p>Example: entry 1 forwards the first event of request r from an endpoint of version v1.2 and tells entries 3, 5 and
 * 8. Entries 1 and 5 are killed. The caller sends r2 to entry 2 and names r. Entry 2 asks 3, 8 and two more, and r2 is
 * placed on an endpoint of v1.2.
 */
public final class StreamOriginsComponent implements ControlComponent {
    private static final Duration VERSIONS_CHECK_INTERVAL = Duration.ofSeconds(5);

    private final OriginRecords records = new OriginRecords();
    private final ListedSoftware listedSoftware = new ListedSoftware();
    private final OriginReplication replication;
    private final OriginLookups lookups;
    private final OriginOwners owners;
    private final OnlyVersion onlyVersion;
    private final LoadedOrigins loaded = new LoadedOrigins();
    private final OriginStorage storage;
    private final AbandonedOrigins abandoned;
    private ImmutableSet<ServiceName> servicesWithSeveralVersions = ImmutableSet.of();
    private boolean versionsCheckScheduled;
    private ControlContext context;

    private StreamOriginsComponent(
            KeyValueRecordCodec codec, Supplier<ImmutableList<EntryContact>> candidates, Runnable confirmCopy) {
        this.onlyVersion = new OnlyVersion(listedSoftware, confirmCopy);
        this.owners = new OriginOwners(candidates);
        this.storage = new OriginStorage(
                codec,
                service -> servicesWithSeveralVersions.contains(service),
                () -> candidates.get().size());
        this.abandoned = new AbandonedOrigins(codec);
        this.replication = new OriginReplication(records, owners);
        this.lookups = new OriginLookups(this::known, records, owners);
    }

    /**
     * Creates the component of one entry.
     *
     * @param codec encodes the origins that are stored
     * @param candidates returns the entries that may keep origins: in a mesh all that serve, otherwise all leads
     * @param confirmCopy asks the key-value service whether the registrations of endpoints are complete
     */
    public static StreamOriginsComponent of(
            KeyValueRecordCodec codec, Supplier<ImmutableList<EntryContact>> candidates, Runnable confirmCopy) {
        return new StreamOriginsComponent(codec, candidates, confirmCopy);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        replication.start(startContext);
        lookups.start(startContext);
        onlyVersion.start(startContext);
        storage.start(startContext);
        abandoned.start(startContext);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof StreamBegun begun) {
            onBegun(begun);
        } else if (event instanceof PeerReceived received && received.message() instanceof OriginMessage message) {
            receive(received.from(), message);
        } else if (event instanceof KeyValueRecordUpdated updated) {
            onUpdated(updated);
        } else if (event instanceof KeyValueRecordRemoved removed) {
            onRemoved(removed.subject());
        } else if (event instanceof CopyConfirmed confirmed) {
            onlyVersion.onConfirmed(confirmed);
        } else if (event instanceof CopyReplaced) {
            listedSoftware.recordGap(context.nowNanos());
        }
    }

    private void onUpdated(KeyValueRecordUpdated updated) {
        if (updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            if (listedSoftware.recordListed(listed.endpoint(), context.nowNanos())) {
                checkVersions();
            }
        } else if (updated.record() instanceof KeyValueRecord.OriginsStored stored) {
            onStored(stored, updated);
        }
    }

    private void onRemoved(KeyValueRecord.Subject subject) {
        if (subject instanceof KeyValueRecord.Subject.EndpointSubject endpoint) {
            listedSoftware.recordUnlisted(endpoint.endpoint(), context.nowNanos());
        } else if (subject instanceof KeyValueRecord.Subject.OriginsSubject origins) {
            abandoned.recordRemoved(origins);
        }
    }

    private void onStored(KeyValueRecord.OriginsStored stored, KeyValueRecordUpdated updated) {
        if (updated.ageUnknown()) {
            loaded.addAll(stored.origins(), context.nowNanos());
        }
        if (!stored.writer().equals(context.self().entry())) {
            abandoned.recordWritten(stored, updated.revision());
        } else if (updated.ageUnknown()) {
            storage.recordEarlier(stored.slot(), updated.revision());
        }
    }

    /** Determines which services have several versions, now and again until none has. */
    private void checkVersions() {
        ImmutableSet<ServiceName> before = servicesWithSeveralVersions;
        servicesWithSeveralVersions = listedSoftware.servicesWithSeveralVersions(context.nowNanos());
        if (!before.containsAll(servicesWithSeveralVersions)) {
            storage.onVersionsChanged();
        }
        if (!servicesWithSeveralVersions.isEmpty() && !versionsCheckScheduled) {
            versionsCheckScheduled = true;
            context.after(VERSIONS_CHECK_INTERVAL, () -> {
                versionsCheckScheduled = false;
                checkVersions();
            });
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(OriginsSnapshot.class, new OriginsSnapshot(records.size()));
    }

    /**
     * Finds what began a stream.
     *
     * @param reply called once on the control thread, with empty if it isn't known
     */
    public void find(StreamQuery query, Consumer<Optional<StreamOrigin>> reply) {
        lookups.find(query, found -> {
            if (found.isPresent()) {
                reply.accept(found);
            } else {
                onlyVersion.find(query, reply);
            }
        });
    }

    private Optional<StreamOrigin> known(StreamQuery query) {
        return records.find(query.request())
                .map(OriginRecords.KnownOrigin::origin)
                .or(() -> loaded.find(query.request(), context.nowNanos()));
    }

    private void onBegun(StreamBegun begun) {
        if (listedSoftware.isAmbiguous(begun.endpoint(), begun.origin().software())) {
            return;
        }
        Duration retention = begun.callerTimeout().plus(OriginRecords.RETURN_MARGIN);
        OriginRecords.KnownOrigin record = records.put(begun.origin(), retention, context.nowNanos());
        record.forgetTold();
        replication.replicate(record);
        if (owners.isCandidate(context.self().entry())) {
            storage.add(begun.origin(), retention);
        }
    }

    private void receive(EntryId from, OriginMessage message) {
        if (message instanceof OriginMessage.Keep keep) {
            keep.records().forEach(record -> keep(from, record));
        } else if (message instanceof OriginMessage.Ask ask) {
            context.send(from, new OriginMessage.Answer(ask.number(), kept(ask.query())));
        } else if (message instanceof OriginMessage.Answer answer) {
            lookups.onAnswer(from, answer);
        }
    }

    private Optional<OriginMessage.Kept> kept(StreamQuery query) {
        return records.find(query.request())
                .map(record -> record.kept(context.nowNanos()))
                .or(() -> loaded.find(query.request(), context.nowNanos())
                        .map(origin -> new OriginMessage.Kept(origin, query.maxAge())));
    }

    private void keep(EntryId from, OriginMessage.Kept kept) {
        replication.assumeTold(records.put(kept.origin(), kept.remaining(), context.nowNanos()));
        if (!owners.isCandidate(from)
                && owners.isFirstOwner(context.self().entry(), kept.origin().request())) {
            storage.add(kept.origin(), kept.remaining());
        }
    }
}
