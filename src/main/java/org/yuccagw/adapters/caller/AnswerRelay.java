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
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.port.BodyEnd;

/**
 * Answers a request that repeats the idempotency key of a running request with the answer of that run, which is read
 * locally or relayed from the entry that executes it.
 *
 * <p>If the run is no longer known to its entry, or the entry is unreachable, the request is answered with
 * ALREADY_RUNNING and the time for the next repetition. That one receives the stored answer, or an error that the
 * outcome is unknown. In no case is the request executed again.
 */
final class AnswerRelay {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
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

    /**
     * Relays the answer of a run.
     *
     * @param authorization authorization header of the caller, sent to the other entry
     */
    void relay(EntryId entry, RequestId request, String authorization) {
        if (entry.equals(services.self().entry())) {
            relayLocalRun(request);
            return;
        }
        Optional<NetworkAddress> address = addressOf(entry);
        if (address.isEmpty()) {
            answer.sendError(alreadyRunning());
            return;
        }
        String path = "/v1/follow/" + request + "?form=" + answer.form();
        HttpRequest httpRequest = HttpRequest.get(address.get(), path)
                .withHeader("Authorization", authorization)
                .withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT)
                .withStatedEndRequired();
        services.entryClient().stream(httpRequest, thread, new RemoteAnswerListener());
    }

    /** Relays the answer of a run on this entry. */
    void relayLocalRun(RequestId request) {
        Optional<CallerRun> run = services.runs().find(request).filter(found -> found.belongsTo(workspace));
        if (run.isEmpty()) {
            answer.sendError(alreadyRunning());
            return;
        }
        run.get().subscribe(step -> thread.execute(() -> step.accept(answer)));
    }

    static YuccagwException alreadyRunning() {
        return ErrorKind.ALREADY_RUNNING.raise().withRetryAfter(RETRY_AFTER);
    }

    private Optional<NetworkAddress> addressOf(EntryId entry) {
        return services.snapshot()
                .get()
                .find(DirectorySnapshot.class)
                .flatMap(directory -> directory.entries().stream()
                        .filter(status -> status.entry().equals(entry))
                        .map(EntryStatus::callerAddress)
                        .findFirst());
    }

    /** Copies the answer of another entry to the caller. */
    private final class RemoteAnswerListener implements HttpResponseListener {
        private boolean headReceived;

        @Override
        public void onHead(int status, HeaderMap headers) {
            headReceived = true;
            Map<String, String> forwarded = new LinkedHashMap<>();
            for (HeaderValues values : headers) {
                if (PlainRequest.isForwarded(values.getHeaderName())) {
                    forwarded.put(values.getHeaderName().toString(), values.getFirst());
                }
            }
            answer.relayHead(status == NOT_FOUND ? ErrorKind.ALREADY_RUNNING.status() : status, forwarded);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            answer.relayBytes(bytes);
        }

        @Override
        public void onEnd(BodyEnd end) {
            answer.relayEnd();
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            answer.sendError(
                    headReceived
                            ? ErrorKind.STREAM_LOST.raise("the entry that runs it can't be reached")
                            : alreadyRunning());
        }
    }
}
