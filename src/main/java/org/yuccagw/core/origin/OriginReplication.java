package org.yuccagw.core.origin;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;

/**
 * Tells each origin to the entries that keep it: when the stream begins, and again to those that keep it after a change
 * of the entries. Every entry that has an origin tells the new ones, so that one copy is enough to make the others.
 */
final class OriginReplication {
    /** Short, since a stream whose entry is killed before can't be taken up. */
    private static final Duration SEND_DELAY = Duration.ofMillis(1);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_RECORDS_PER_MESSAGE = 200;

    private final OriginRecords records;
    private final OriginOwners owners;
    private final Map<EntryId, Map<StreamOrigin, OriginMessage.Kept>> outbox = new LinkedHashMap<>();
    private Set<EntryContact> lastCandidates = Set.of();
    private ControlContext context;
    private boolean flushScheduled;
    private boolean checkScheduled;

    OriginReplication(OriginRecords records, OriginOwners owners) {
        this.records = records;
        this.owners = owners;
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** Tells an origin to those that keep it and haven't been told. */
    void replicate(OriginRecords.KnownOrigin record) {
        scheduleCheck();
        for (EntryContact owner : owners.ownersOf(record.origin().request())) {
            boolean isOther = !owner.entry().equals(context.self().entry());
            if (isOther && record.markTold(owner)) {
                outbox.computeIfAbsent(owner.entry(), entry -> new LinkedHashMap<>())
                        .put(record.origin(), record.kept(context.nowNanos()));
                scheduleFlush();
            }
        }
    }

    /** Records that another entry told an origin, and so tells it to the others that keep it as well. */
    void assumeTold(OriginRecords.KnownOrigin record) {
        scheduleCheck();
        owners.ownersOf(record.origin().request()).forEach(record::markTold);
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            context.after(CHECK_INTERVAL, this::check);
        }
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            context.after(SEND_DELAY, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        outbox.forEach((entry, kept) -> {
            ImmutableList<OriginMessage.Kept> all = ImmutableList.copyOf(kept.values());
            for (int from = 0; from < all.size(); from += MAX_RECORDS_PER_MESSAGE) {
                int to = Math.min(all.size(), from + MAX_RECORDS_PER_MESSAGE);
                context.send(entry, new OriginMessage.Keep(all.subList(from, to)));
            }
        });
        outbox.clear();
    }

    /** Tells the origins to those that keep them after a change of the entries. */
    private void check() {
        checkScheduled = false;
        records.removeExpired(context.nowNanos());
        if (records.size() == 0) {
            return;
        }
        scheduleCheck();
        Set<EntryContact> candidates = new HashSet<>(owners.candidates());
        if (!candidates.equals(lastCandidates)) {
            lastCandidates = candidates;
            records.all().forEach(this::replicate);
        }
    }
}
