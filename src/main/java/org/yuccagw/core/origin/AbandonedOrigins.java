package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
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

    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(30);

    private final KeyValueRecordCodec codec;
    private final Map<OriginsSubject, Stored> known = new HashMap<>();
    private ControlContext context;
    private boolean checkScheduled;

    /** The last write of a key, and when it counts as abandoned. */
    private record Stored(long revision, long abandonedNanos) {}

    AbandonedOrigins(KeyValueRecordCodec codec) {
        this.codec = codec;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    void recordWritten(OriginsStored stored, long revision) {
        Duration delay = ABANDONED_AFTER.plusMillis(context.random().nextLong(MAX_EXTRA_DELAY.toMillis()));
        known.put(
                new OriginsSubject(stored.writer(), stored.slot()),
                new Stored(revision, context.nowNanos() + delay.toNanos()));
        scheduleCheck();
    }

    void recordRemoved(OriginsSubject subject) {
        known.remove(subject);
    }

    private void scheduleCheck() {
        if (!checkScheduled && !known.isEmpty()) {
            checkScheduled = true;
            context.after(CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        known.entrySet().removeIf(each -> {
            boolean abandoned = context.nowNanos() - each.getValue().abandonedNanos() >= 0;
            if (abandoned) {
                remove(each.getKey(), each.getValue().revision());
            }
            return abandoned;
        });
        scheduleCheck();
    }

    private void remove(OriginsSubject subject, long revision) {
        OriginsStored named = new OriginsStored(subject.writer(), subject.slot(), ImmutableList.of());
        context.call(new KeyValueCall.Delete(codec.encode(named).key(), revision), ignored -> {});
    }
}
