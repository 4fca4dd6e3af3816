package org.yuccagw.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsRequested;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsSent;

/**
 * The start of a process that has no records yet: it asks a few other entries for theirs, and until one that has them
 * has sent them, requests wait.
 *
 * <p>It is complete when an entry whose own start is complete has answered, when every entry asked has answered that it
 * has only started itself, or after {@link #TIMEOUT}, since an entry that is alone has nobody to ask.
 */
final class StartupTransfer {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(200);
    private static final int MAX_ENTRIES_ASKED = 5;

    private final Set<EntryId> asked = new LinkedHashSet<>();
    private final Set<EntryId> unanswered = new LinkedHashSet<>();
    private final List<QuarantineRequested> waiting = new ArrayList<>();
    private final Consumer<QuarantineRequested> decider;
    private ControlContext context;
    private boolean complete;

    private StartupTransfer(Consumer<QuarantineRequested> decider) {
        this.decider = decider;
    }

    /**
     * Creates the start of a process.
     *
     * @param decider decides on requests once the transfer is complete
     */
    static StartupTransfer of(Consumer<QuarantineRequested> decider) {
        return new StartupTransfer(decider);
    }

    void start(ControlContext startContext) {
        context = startContext;
        context.after(TIMEOUT, this::finish);
        context.after(RESEND_INTERVAL, this::resend);
    }

    boolean isComplete() {
        return complete;
    }

    /** Passes a request to the decider, once the transfer is complete. */
    void submit(QuarantineRequested request) {
        if (complete) {
            decider.accept(request);
        } else {
            waiting.add(request);
        }
    }

    void updatePeers(Set<EntryId> peers) {
        for (EntryId peer : peers) {
            if (!complete && asked.size() < MAX_ENTRIES_ASKED && asked.add(peer)) {
                unanswered.add(peer);
                context.send(peer, new RecordsRequested());
            }
        }
    }

    void onRecordsSent(EntryId from, RecordsSent sent) {
        unanswered.remove(from);
        if (sent.complete() || unanswered.isEmpty()) {
            finish();
        }
    }

    private void finish() {
        complete = true;
        waiting.forEach(decider);
        waiting.clear();
    }

    private void resend() {
        if (!complete) {
            unanswered.forEach(peer -> context.send(peer, new RecordsRequested()));
            context.after(RESEND_INTERVAL, this::resend);
        }
    }
}
