package org.yuccagw.core.peers;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.KeyValueRestored;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.lease.LeaseRenewer;
import org.yuccagw.core.lease.LeaseTimes;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Registers this entry under a lease, so that entries discover each other without a list of VMs.
 *
 * <p>The registration only provides the address for heartbeats, which in turn determine whether an entry is alive. The
 * lease is therefore long and renewed rarely. After a restart, the key of the previous process may still exist: the
 * write expects the last known revision, and after a conflict it is retried with the revision reported by the service.
 * After a restoration of the service, the registration is written again under a new lease.
 */
public final class RegistrationComponent implements ControlComponent {
    private static final LeaseTimes LEASE =
            new LeaseTimes(Duration.ofSeconds(15), Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(2));
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration CONFLICT_RETRY_DELAY = Duration.ofMillis(50);

    /** Spreads the registrations of all entries after a restoration of the service. */
    private static final Duration MAX_RENEWAL_DELAY = Duration.ofSeconds(1);

    private final KeyValueRecordCodec codec;
    private ControlContext context;
    private LeaseRenewer lease;
    private long knownRevision = KeyValueCall.ABSENT;

    private RegistrationComponent(KeyValueRecordCodec codec) {
        this.codec = codec;
    }

    public static RegistrationComponent of(KeyValueRecordCodec codec) {
        return new RegistrationComponent(codec);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        lease = LeaseRenewer.of(context, LEASE, this::register, () -> {});
        lease.acquire();
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof StopRequested) {
            lease.release();
        } else if (event instanceof KeyValueRestored restored) {
            context.after(randomDelay(), () -> lease.dropBeforeEra(restored.era()));
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EntryListed listed) {
            if (listed.contact().entry().equals(context.self().entry())) {
                knownRevision = updated.revision();
            }
        }
    }

    private Duration randomDelay() {
        return Duration.ofMillis(context.random().nextLong(MAX_RENEWAL_DELAY.toMillis()));
    }

    private void register() {
        Optional<KeyValueCall.LeaseHandle> handle = lease.handle();
        if (handle.isEmpty()) {
            return;
        }
        EntryContact contact = EntryContact.of(context.self());
        KeyValueRecordCodec.Entry entry = codec.encode(new KeyValueRecord.EntryListed(contact));
        context.call(new KeyValueCall.CompareAndSwap(entry.key(), knownRevision, entry.value(), handle), answer -> {
            if (answer instanceof KeyValueAnswer.Written written) {
                knownRevision = written.revision();
                return;
            }
            if (answer instanceof KeyValueAnswer.Conflict conflict) {
                knownRevision = conflict.currentRevision();
                context.after(CONFLICT_RETRY_DELAY, this::register);
                return;
            }
            context.after(RETRY_DELAY, this::register);
        });
    }
}
