package org.yuccagw.adapters.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.engine.PlainRequest;
import org.yuccagw.adapters.http.HttpQuery;
import org.yuccagw.adapters.http.HttpStreamListener;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;

/**
 * Gives a caller who repeated an idempotency key the answer of the run that is in progress: from this entry's own run,
 * or relayed from the entry that runs it.
 *
 * <p>When the run has ended meanwhile or its entry can't be reached, the caller is told ALREADY_RUNNING: its next
 * repeat finds the kept answer or learns that the outcome is unknown. Nothing runs again either way.
 */
final class AnswerRelay {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(60);
    private static final int NOT_FOUND = 404;

    private final CallerServices services;
    private final Workspace workspace;
    private final CallerAnswer answer;
    private final XnioIoThread thread;

    private AnswerRelay(CallerServices services, Workspace workspace, CallerAnswer answer, XnioIoThread thread) {
        this.services = services;
        this.workspace = workspace;
        this.answer = answer;
        this.thread = thread;
    }

    static AnswerRelay of(CallerServices services, Workspace workspace, CallerAnswer answer, XnioIoThread thread) {
        return new AnswerRelay(services, workspace, answer, thread);
    }

    void follow(EntryId entry, RequestId request, String authorization) {
        if (entry.equals(services.self().entry())) {
            followHere(request);
            return;
        }
        Optional<NetworkAddress> address = addressOf(entry);
        if (address.isEmpty()) {
            answer.error(ErrorKind.ALREADY_RUNNING.raise());
            return;
        }
        String path = "/v1/follow/" + request + "?form=" + answer.form();
        HttpQuery query = HttpQuery.get(address.get(), path)
                .withHeader("Authorization", authorization)
                .withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT);
        services.otherEntries().stream(query, thread, new Relay());
    }

    /** Follows a run of this entry. */
    void followHere(RequestId request) {
        Optional<CallerRun> run = services.runs().find(request).filter(found -> found.belongsTo(workspace));
        if (run.isEmpty()) {
            answer.error(ErrorKind.ALREADY_RUNNING.raise());
            return;
        }
        run.get().follow(step -> thread.execute(() -> step.accept(answer)));
    }

    private Optional<NetworkAddress> addressOf(EntryId entry) {
        return services.snapshot()
                .get()
                .part(DirectorySnapshot.class)
                .flatMap(directory -> directory.entries().stream()
                        .filter(status -> status.entry().equals(entry))
                        .map(EntryStatus::callerAddress)
                        .findFirst());
    }

    private final class Relay implements HttpStreamListener {
        private boolean started;

        @Override
        public void onHead(int status, HeaderMap headers) {
            started = true;
            Map<String, String> passedOn = new LinkedHashMap<>();
            for (HeaderValues values : headers) {
                if (PlainRequest.isPassedOn(values.getHeaderName())) {
                    passedOn.put(values.getHeaderName().toString(), values.getFirst());
                }
            }
            answer.relayHead(status == NOT_FOUND ? ErrorKind.ALREADY_RUNNING.status() : status, passedOn);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            answer.relayBytes(bytes);
        }

        @Override
        public void onEnd() {
            answer.relayEnd();
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            answer.error(
                    started
                            ? ErrorKind.STREAM_LOST.raise("the entry that runs it can't be reached")
                            : ErrorKind.ALREADY_RUNNING.raise());
        }
    }
}
