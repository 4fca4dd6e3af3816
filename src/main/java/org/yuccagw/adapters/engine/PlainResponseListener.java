package org.yuccagw.adapters.engine;

import com.google.common.collect.ImmutableMap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.request.AnswerHead;
import org.yuccagw.core.request.AttemptFailure;
import org.yuccagw.core.request.RequestMachine;
import org.yuccagw.core.stream.EventScanner;

/**
 * Passes the answer of a plain service to the request machine unchanged.
 *
 * <p>For an idempotent request, status 502, 503 or 504 is a failure of the attempt, which may be retried at another
 * endpoint. For any other request it is the answer, because only the service knows whether the request ran.
 *
 * <p>An event stream that ends inside an event, or whose connection ends before its first event, is broken.
 */
public final class PlainResponseListener implements HttpResponseListener {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestMachine machine;
    private final long leg;
    private final boolean idempotent;
    private boolean failed;
    private Optional<EventScanner> events = Optional.empty();

    private PlainResponseListener(RequestMachine machine, long leg, boolean idempotent) {
        this.machine = machine;
        this.leg = leg;
        this.idempotent = idempotent;
    }

    /** Returns the listener for one leg, that is one connection of an attempt. */
    public static PlainResponseListener of(RequestMachine machine, long leg, boolean idempotent) {
        return new PlainResponseListener(machine, leg, idempotent);
    }

    @Override
    public void onHead(int status, HeaderMap headers) {
        if (idempotent && status >= BAD_GATEWAY && status <= GATEWAY_TIMEOUT) {
            failed = true;
            machine.onFailure(leg, AttemptFailure.SERVER_ERROR, "status " + status);
            return;
        }
        ImmutableMap.Builder<String, String> forwarded = ImmutableMap.builder();
        for (HeaderValues values : headers) {
            if (PlainRequest.isForwarded(values.getHeaderName())) {
                forwarded.put(values.getHeaderName().toString(), String.join(", ", values));
            }
        }
        if (isEventStream(headers)) {
            events = Optional.of(EventScanner.fromStart());
        }
        machine.onHead(leg, new AnswerHead(status, "", "", SoftwareVersion.UNSTATED, forwarded.buildOrThrow()));
    }

    private static boolean isEventStream(HeaderMap headers) {
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        return type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (!failed) {
            events.ifPresent(scanner -> scanner.scan(bytes));
            machine.onBytes(leg, bytes);
        }
    }

    @Override
    public void onEnd(BodyEnd end) {
        if (failed) {
            return;
        }
        events.flatMap(scanner -> scanner.defectAtEnd(end))
                .ifPresentOrElse(
                        defect -> machine.onFailure(leg, AttemptFailure.BROKEN, defect), () -> machine.onDone(leg));
    }

    @Override
    public void onFailure(Phase phase, boolean silent, IOException cause) {
        AttemptFailure failure = phase == Phase.CONNECT
                ? AttemptFailure.CONNECT_FAILED
                : silent ? AttemptFailure.SILENT : AttemptFailure.BROKEN;
        machine.onFailure(leg, failure, String.valueOf(cause.getMessage()));
    }
}
