package org.yuccagw.bench.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.admission.AdmissionRequested.Released;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Callers whose requests ask to be let in, hold their place for a while, and leave; around {@link VirtualEntries}.
 */
public final class LimitedCalls {
    private static final long PROMPT_TOKENS = 100;

    private final VirtualEntries entries;
    private final ServiceName service;
    private final String className;
    private final List<Call> calls = new ArrayList<>();
    private int running;
    private int mostRunning;

    private LimitedCalls(VirtualEntries entries, ServiceName service, String className) {
        this.entries = entries;
        this.service = service;
        this.className = className;
    }

    public static LimitedCalls over(VirtualEntries entries, ServiceName service, String className) {
        return new LimitedCalls(entries, service, className);
    }

    /** One request and what became of it. */
    public static final class Call {
        private final WorkspaceId workspace;
        private final long askedNanos;
        private long answeredNanos = -1;
        private Optional<YuccagwException> refusal = Optional.empty();

        private Call(WorkspaceId workspace, long askedNanos) {
            this.workspace = workspace;
            this.askedNanos = askedNanos;
        }

        public WorkspaceId workspace() {
            return workspace;
        }

        public boolean isAnswered() {
            return answeredNanos >= 0;
        }

        public boolean isLetIn() {
            return isAnswered() && refusal.isEmpty();
        }

        public Optional<YuccagwException> refusal() {
            return refusal;
        }

        public Duration waited() {
            return Duration.ofNanos(answeredNanos - askedNanos);
        }
    }

    /**
     * Sends a request that runs for that long once it is let in; an entry that is dead by then doesn't report its
     * end.
     */
    public Call call(EntryId entry, WorkspaceId workspace, Duration runs) {
        return call(entry, workspace, runs, ended -> {});
    }

    /**
     * Sends a request and says when it has ended, for callers with a fixed number of requests at a time.
     *
     * @param ended called once: at the refusal, or at the end of the run
     */
    public Call call(EntryId entry, WorkspaceId workspace, Duration runs, Consumer<Call> ended) {
        Call call = new Call(workspace, entries.nowNanos());
        RequestId request = RequestId.of("request-" + calls.size());
        calls.add(call);
        entries.tell(
                entry, new AdmissionRequested(request, workspace, service, className, PROMPT_TOKENS, 0, refusal -> {
                    call.answeredNanos = entries.nowNanos();
                    call.refusal = refusal;
                    if (refusal.isPresent()) {
                        ended.accept(call);
                    } else {
                        run(entry, request, runs, () -> ended.accept(call));
                    }
                }));
        return call;
    }

    private void run(EntryId entry, RequestId request, Duration runs, Runnable ended) {
        running++;
        mostRunning = Math.max(mostRunning, running);
        entries.after(runs, () -> {
            running--;
            entries.tell(entry, new Released(request, PROMPT_TOKENS));
            ended.run();
        });
    }

    public List<Call> calls() {
        return List.copyOf(calls);
    }

    public long letIn() {
        return calls.stream().filter(Call::isLetIn).count();
    }

    public int running() {
        return running;
    }

    /** The most requests that ran at the same time over all entries, by this record and not by the entries' own. */
    public int mostRunning() {
        return mostRunning;
    }
}
