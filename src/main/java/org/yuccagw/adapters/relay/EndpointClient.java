package org.yuccagw.adapters.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.OngoingCall;
import org.yuccagw.adapters.http.ResponseCollector;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.PathPlan;
import org.yuccagw.core.relay.RelayChoice;

/**
 * HTTP client for endpoints. Sends requests directly or, to endpoints that this entry can't reach, through another
 * entry.
 *
 * <p>A listener can't tell the two apart: it gets the endpoint's response and, in {@link HttpResponseListener.Phase}, a
 * true statement of whether the endpoint may have received the request. Orders that bind the entry that sends them must
 * not be sent with this client.
 */
public final class EndpointClient {
    private final HttpClient directClient;
    private final HttpClient relayClient;
    private final EntryId self;
    private final DirectPaths paths;
    private final RelayChoice choice;

    private EndpointClient(
            HttpClient directClient, HttpClient relayClient, EntryId self, DirectPaths paths, RelayChoice choice) {
        this.directClient = directClient;
        this.relayClient = relayClient;
        this.self = self;
        this.paths = paths;
        this.choice = choice;
    }

    /**
     * Creates the client of one entry.
     *
     * @param directClient client for endpoints
     * @param relayClient client for entries that relay
     */
    public static EndpointClient of(
            HttpClient directClient, HttpClient relayClient, EntryId self, DirectPaths paths, RelayChoice choice) {
        return new EndpointClient(directClient, relayClient, self, paths, choice);
    }

    /**
     * Sends the request on an I/O thread; the listener is called on that thread.
     *
     * @param label id of the request in the logs of this entry and of one that relays it
     */
    public OngoingCall stream(HttpRequest request, String label, XnioIoThread thread, HttpResponseListener listener) {
        RoutedCall call =
                new RoutedCall(this, request, label, thread, listener, PathPlan.of(paths, choice, request.address()));
        if (Thread.currentThread() == thread) {
            call.start();
        } else {
            thread.execute(call::start);
        }
        return call;
    }

    /** Sends the request and returns its complete response; the future fails with an IOException. */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        ResponseCollector collector =
                ResponseCollector.of(response::complete, (phase, cause) -> response.completeExceptionally(cause));
        stream(request, "", worker().getIoThread(ThreadLocalRandom.current().nextInt()), collector);
        return response;
    }

    /** Tests whether a direct connection to the endpoint is established within 2 s; sends nothing over it. */
    public CompletableFuture<Boolean> canConnect(NetworkAddress endpoint, XnioIoThread thread) {
        return directClient.canConnect(endpoint, thread);
    }

    public XnioWorker worker() {
        return directClient.worker();
    }

    HttpClient directClient() {
        return directClient;
    }

    HttpClient relayClient() {
        return relayClient;
    }

    EntryId self() {
        return self;
    }

    DirectPaths paths() {
        return paths;
    }

    /** Tests the direct path to an endpoint that this entry can't reach, unless it was tested just now. */
    void probe(NetworkAddress endpoint, XnioIoThread thread) {
        if (!paths.claimProbe(endpoint, System.nanoTime())) {
            return;
        }
        canConnect(endpoint, thread).thenAccept(connected -> {
            if (connected) {
                paths.recordReached(endpoint);
            } else {
                paths.recordUnreached(endpoint, System.nanoTime());
            }
        });
    }
}
