package org.yuccagw.core.origin;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.follow.KeyValueRecord.OriginsStored;
import org.yuccagw.core.follow.KeyValueRecord.Subject.OriginsSubject;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.port.KeyValueCall;

/**
 * Removes stored origins of other entries that their writers have left behind. A writer removes or overwrites its own
 * ones within some {@link OriginRecords#MAX_RETENTION}, so one that hasn't changed for much longer has none.
 */
final class AbandonedOrigins {
    private static final Duration ABANDONED_AFTER = OriginRecords.MAX_RETENTION.multipliedBy(5);

    /** Spreads the removals over time, so that one entry removes a key and the others see that. */
    private static final Duration MAX_EXTRA_DELAY = Duration.ofSeconds(60);

    private final KeyValueRecordCodec codec;
    private final Map<OriginsSubject, Long> revisions = new HashMap<>();
    private ControlContext context;

    AbandonedOrigins(KeyValueRecordCodec codec) {
        this.codec = codec;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    void recordWritten(OriginsStored stored, long revision) {
        OriginsSubject subject = new OriginsSubject(stored.writer(), stored.slot());
        revisions.put(subject, revision);
        long extraMillis = context.random().nextLong(MAX_EXTRA_DELAY.toMillis());
        context.after(ABANDONED_AFTER.plusMillis(extraMillis), () -> removeIfUnchanged(subject, stored, revision));
    }

    void recordRemoved(OriginsSubject subject) {
        revisions.remove(subject);
    }

    private void removeIfUnchanged(OriginsSubject subject, OriginsStored stored, long revision) {
        if (revisions.getOrDefault(subject, KeyValueCall.ABSENT) == revision) {
            revisions.remove(subject);
            context.call(new KeyValueCall.Delete(codec.encode(stored).key(), revision), ignored -> {});
        }
    }
}
