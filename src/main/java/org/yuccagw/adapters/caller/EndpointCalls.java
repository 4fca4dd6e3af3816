package org.yuccagw.adapters.caller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.engine.CompletionBody;
import org.yuccagw.adapters.engine.EngineResponseListener;
import org.yuccagw.adapters.engine.PlainResponseListener;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.OngoingCall;
import org.yuccagw.adapters.relay.EndpointClient;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.request.RequestMachine;
import org.yuccagw.core.request.RequestProfile;

/** The HTTP calls of one caller's request to endpoints. Confined to the I/O thread of the request. */
final class EndpointCalls {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

    private final EndpointClient client;
    private final XnioIoThread thread;
    private final RequestProfile profile;
    private final CallTarget target;
    private final RequestSpans spans;
    private final RequestMachine machine;
    private final Map<Long, OngoingCall> callsByLeg = new HashMap<>();
    private OngoingCall activeCall;

    private EndpointCalls(
            EndpointClient client,
            XnioIoThread thread,
            RequestProfile profile,
            CallTarget target,
            RequestSpans spans,
            RequestMachine machine) {
        this.client = client;
        this.thread = thread;
        this.profile = profile;
        this.target = target;
        this.spans = spans;
        this.machine = machine;
    }

    /**
     * Creates the calls of one request.
     *
     * @param machine receives the answers
     */
    static EndpointCalls of(
            EndpointClient client,
            XnioIoThread thread,
            RequestProfile profile,
            CallTarget target,
            RequestSpans spans,
            RequestMachine machine) {
        return new EndpointCalls(client, thread, profile, target, spans, machine);
    }

    /** Sends the request to an endpoint. An engine continues the text that the caller has already received. */
    void send(long leg, EndpointStatus endpoint, String textSoFar, long piecesSoFar) {
        if (target.completionBody().isPresent()) {
            HttpRequest request = completionRequest(target.completionBody().get(), endpoint, textSoFar, piecesSoFar);
            open(leg, request, EngineResponseListener.sending(machine, leg));
        } else {
            HttpRequest request = target.plainRequest()
                    .orElseThrow()
                    .toHttpRequest(endpoint.address(), profile.request().value(), spans.traceParent());
            open(leg, request, PlainResponseListener.of(machine, leg, profile.idempotent()));
        }
    }

    private HttpRequest completionRequest(
            CompletionBody completion, EndpointStatus endpoint, String textSoFar, long piecesSoFar) {
        String version = endpoint.version().map(WeightVersion::value).orElse(target.catalogueVersion());
        byte[] body = completion.bodyForEngine(
                target.salt(version), version, target.requestClass().priority(), textSoFar, piecesSoFar);
        String path = completion.isChat() ? "/v1/chat/completions" : "/v1/completions";
        return HttpRequest.of("POST", endpoint.address(), path, body)
                .withHeader("Content-Type", "application/json")
                .withHeader("X-Request-Id", profile.request().value())
                .withHeader("traceparent", spans.traceParent());
    }

    /** Continues to read a stream that the engine has already started, from after the given piece. */
    void resumeStream(long leg, EndpointStatus endpoint, String stream, long from) {
        HttpRequest request = HttpRequest.get(endpoint.address(), "/v1/streams/" + stream + "?from=" + from)
                .withNewConnection();
        open(leg, request, EngineResponseListener.resuming(machine, leg));
    }

    private void open(long leg, HttpRequest request, HttpResponseListener listener) {
        HttpRequest timedRequest =
                request.withTimeouts(CONNECT_TIMEOUT, target.requestClass().progressTimeout());
        HttpRequest finalRequest = profile.idempotent() ? timedRequest : timedRequest.withNewConnection();
        activeCall = client.stream(finalRequest, profile.request().value(), thread, listener);
        callsByLeg.put(leg, activeCall);
    }

    /** Closes the connection of the leg. */
    void abandon(long leg) {
        OngoingCall call = callsByLeg.remove(leg);
        if (call != null) {
            call.cancel();
        }
    }

    /**
     * Returns whether the endpoint answers. A plain service is probed with a connection only, because any request might
     * have an effect there. The future may complete on any thread.
     */
    CompletableFuture<Boolean> probe(EndpointStatus endpoint) {
        if (target.completionBody().isEmpty() && !profile.model()) {
            return client.canConnect(endpoint.address(), thread);
        }
        HttpRequest request = HttpRequest.get(endpoint.address(), "/v1/state")
                .withTimeouts(CONNECT_TIMEOUT, PROBE_TIMEOUT)
                .withNewConnection();
        return client.send(request).handle((reply, failure) -> failure == null);
    }

    /** Ends a stream at its engine; after a delay only if nobody reads it by then. */
    void cancelStream(EndpointStatus endpoint, String stream, Duration delay) {
        String condition = delay.isZero() ? "" : "?if=unread";
        HttpRequest request = HttpRequest.of("DELETE", endpoint.address(), "/v1/streams/" + stream + condition);
        thread.executeAfter(() -> client.send(request), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    void pauseReading() {
        if (activeCall != null) {
            activeCall.pause();
        }
    }

    void resumeReading() {
        if (activeCall != null) {
            activeCall.resume();
        }
    }
}
