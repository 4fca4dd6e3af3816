package org.yuccagw.adapters.relay;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.xnio.XnioIoThread;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponseListener;
import org.yuccagw.adapters.http.OngoingCall;
import org.yuccagw.core.port.BodyEnd;
import org.yuccagw.core.relay.PathPlan;
import org.yuccagw.core.relay.Relay;
import org.yuccagw.core.relay.RelayOutcome;

/** One request to an endpoint, which follows its {@link PathPlan}. Confined to one I/O thread. */
final class RoutedCall implements OngoingCall {
    /** An entry that hasn't said otherwise by the end of this time has connected to the endpoint. */
    private static final Duration DELIVERY_TIME = RelayRun.CONNECT_TIMEOUT.plusMillis(50);

    private final EndpointClient client;
    private final HttpRequest request;
    private final String label;
    private final XnioIoThread thread;
    private final HttpResponseListener listener;
    private final PathPlan plan;

    private OngoingCall current;
    private int startedCalls;
    private boolean paused;
    private volatile boolean finished;
    private boolean connectedReported;

    RoutedCall(
            EndpointClient client,
            HttpRequest request,
            String label,
            XnioIoThread thread,
            HttpResponseListener listener,
            PathPlan plan) {
        this.client = client;
        this.request = request;
        this.label = label;
        this.thread = thread;
        this.listener = listener;
        this.plan = plan;
    }

    void start() {
        if (!finished) {
            perform(plan.first(System.nanoTime()));
        }
    }

    @Override
    public void cancel() {
        finished = true;
        if (Thread.currentThread() == thread) {
            cancelCurrent();
        } else {
            thread.execute(this::cancelCurrent);
        }
    }

    private void cancelCurrent() {
        if (current != null) {
            current.cancel();
        }
    }

    @Override
    public void pause() {
        paused = true;
        if (current != null) {
            current.pause();
        }
    }

    @Override
    public void resume() {
        paused = false;
        if (current != null) {
            current.resume();
        }
    }

    private void perform(PathPlan.Step step) {
        if (step instanceof PathPlan.Step.Direct direct) {
            sendDirectly(direct.maxConnectTimeout());
        } else if (step instanceof PathPlan.Step.Via via) {
            sendVia(via);
        } else {
            IOException cause =
                    new IOException("no connection to " + request.address() + ", neither directly nor relayed");
            fail(HttpResponseListener.Phase.CONNECT, false, cause);
        }
    }

    /** On an uncertain path an idle connection could hang, so that a new one is opened. */
    private void sendDirectly(Optional<Duration> maxConnectTimeout) {
        HttpRequest direct = maxConnectTimeout
                .filter(limit -> limit.compareTo(request.connectTimeout()) < 0)
                .map(limit -> request.withTimeouts(limit, request.silenceTimeout()))
                .orElse(request);
        HttpRequest sent = maxConnectTimeout.isPresent() ? direct.withNewConnection() : direct;
        begin(() -> client.directClient().stream(sent, thread, new DirectListener()));
    }

    private void sendVia(PathPlan.Step.Via via) {
        client.probe(request.address(), thread);
        HttpRequest message = RelayProtocol.encode(request, via.relay(), label, client.self());
        begin(() -> client.relayClient().stream(message, thread, new RelayedListener(via.relay())));
    }

    /** A call that fails while it is being started has been followed by the next one already. */
    private void begin(Supplier<OngoingCall> starter) {
        startedCalls++;
        int number = startedCalls;
        OngoingCall call = starter.get();
        if (finished) {
            call.cancel();
        } else if (number == startedCalls) {
            current = call;
            if (paused) {
                call.pause();
            }
        }
    }

    private void reportConnected() {
        if (!connectedReported && !finished) {
            connectedReported = true;
            listener.onConnected();
        }
    }

    private void fail(HttpResponseListener.Phase phase, boolean silent, IOException cause) {
        if (!finished) {
            finished = true;
            listener.onFailure(phase, silent, cause);
        }
    }

    private void end(BodyEnd bodyEnd) {
        if (!finished) {
            finished = true;
            listener.onEnd(bodyEnd);
        }
    }

    /** Receives the response over a direct connection. */
    private final class DirectListener implements HttpResponseListener {
        @Override
        public void onNewConnection() {
            client.paths().recordReached(request.address());
        }

        @Override
        public void onConnected() {
            reportConnected();
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            listener.onHead(status, headers);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            listener.onBytes(bytes);
        }

        @Override
        public void onEnd(BodyEnd bodyEnd) {
            end(bodyEnd);
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            if (phase != Phase.CONNECT) {
                fail(phase, silent, cause);
                return;
            }
            PathPlan.Step next = plan.afterDirectFailure(System.nanoTime());
            if (next instanceof PathPlan.Step.Unreachable) {
                fail(phase, silent, cause);
            } else {
                perform(next);
            }
        }
    }

    /** Receives the response of an entry that relays the request. */
    private final class RelayedListener implements HttpResponseListener {
        private final Relay relay;
        private boolean over;
        private Optional<BodyEnd> bodyEndAtEndpoint = Optional.empty();

        private RelayedListener(Relay relay) {
            this.relay = relay;
        }

        @Override
        public void onConnected() {
            thread.executeAfter(
                    () -> {
                        if (!over) {
                            reportConnected();
                        }
                    },
                    DELIVERY_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            Optional<RelayOutcome> outcome = RelayProtocol.readOutcome(headers);
            if (outcome.isPresent() && outcome.get() == RelayOutcome.ANSWERED) {
                acceptAnswer(status, headers);
                return;
            }
            over = true;
            RelayOutcome failure = outcome.orElse(RelayOutcome.BROKEN);
            if (failure.mayHaveRun()) {
                fail(Phase.AWAIT, failure == RelayOutcome.SILENT, relayFailure(failure.code()));
            } else {
                perform(plan.afterRelayFailure(relay, failure, System.nanoTime()));
            }
        }

        private void acceptAnswer(int status, HeaderMap headers) {
            bodyEndAtEndpoint = Optional.of(RelayProtocol.readBodyEnd(headers));
            plan.recordRelayed(relay, System.nanoTime());
            reportConnected();
            listener.onRelayed(relay.entry());
            listener.onHead(status, RelayProtocol.originalHeaders(headers));
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (!over && !finished) {
                listener.onBytes(bytes);
            }
        }

        @Override
        public void onEnd(BodyEnd ignored) {
            if (!over) {
                end(bodyEndAtEndpoint.orElseThrow());
            }
        }

        @Override
        public void onFailure(Phase phase, boolean silent, IOException cause) {
            if (over) {
                return;
            }
            over = true;
            if (phase == Phase.CONNECT) {
                perform(plan.afterSilentRelay(relay, System.nanoTime()));
            } else {
                fail(phase, silent, cause);
            }
        }

        private IOException relayFailure(String outcome) {
            return new IOException(request.address() + " relayed by " + relay.entry() + ": " + outcome);
        }
    }
}
