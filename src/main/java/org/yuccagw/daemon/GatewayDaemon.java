package org.yuccagw.daemon;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.control.ControlRunner;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.peer.PeerTransport;
import org.yuccagw.adapters.serving.ActiveRequests;
import org.yuccagw.adapters.serving.ServingServer;
import org.yuccagw.adapters.serving.ServingServices;
import org.yuccagw.adapters.settings.GatewaySettings;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.adapters.telemetry.RefusalReporter;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.Region;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.notice.NoticesSnapshot;
import org.yuccagw.core.origin.OriginsSnapshot;
import org.yuccagw.core.peers.PeersSnapshot;
import org.yuccagw.core.placing.PlacementSnapshot;
import org.yuccagw.core.ratelimit.RateLimitsSnapshot;
import org.yuccagw.core.relay.CutOffChanged;
import org.yuccagw.core.relay.Relay;
import org.yuccagw.platform.EngineClient;
import org.yuccagw.platform.KeyValueClient;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.platform.PlatformWireProtocol;
import org.yuccagw.platform.StoreClient;

/**
 * An entry on the users' platform: the control thread with its core, one I/O thread for traffic, and the addresses for
 * callers, readiness, directory and other entries.
 *
 * <p>A graceful stop takes these steps, so that no request is interrupted:
 *
 * <ol>
 *   <li>Report that this entry is not ready, which removes it from the directories of all entries, and close each
 *       caller connection after its answer.
 *   <li>Keep serving callers that use a cached directory, for most of the grace time. New streams are refused earlier
 *       than other requests.
 *   <li>Refuse new requests with an error that says they have not run.
 *   <li>Wait for the requests in progress, until shortly before the end of the grace time.
 *   <li>Close the addresses, after which the process ends.
 * </ol>
 */
public final class GatewayDaemon {
    private static final Duration CUT_OFF_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(10).toNanos();

    /** Callers cache the directory for at most three times its time to live. */
    private static final int MAX_DIRECTORY_LIFETIMES_CACHED = 3;

    /** Reserved at the end of the grace time for the requests in progress. */
    private static final Duration COMPLETION_TIME = Duration.ofSeconds(2);

    /** New streams are refused after this fraction of the grace time, since a stream may take many seconds. */
    private static final double NEW_STREAMS_GRACE_FRACTION = 0.34;

    /** Reserved at the end of the grace time for ending the remaining requests and closing the addresses. */
    private static final Duration CLOSE_TIME = Duration.ofMillis(250);

    /** The part of {@link #CLOSE_TIME} for ending the remaining requests. */
    private static final Duration END_TIME = Duration.ofMillis(100);

    private final GatewaySettings settings;
    private final EntryIdentity self;
    private final DecisionLog decisions = DecisionLog.start();
    private final ActiveRequests runs = ActiveRequests.create();
    private final XnioWorker worker;
    private final HttpClient endpointClient;
    private final RelayService relayService;
    private final HttpClient platformClient;
    private final PeerTransport peers;
    private final ControlRunner control;
    private final ServingServer server;
    private final CountDownLatch stoppedLatch = new CountDownLatch(1);
    private boolean stopped;
    private boolean reportedCutOff;

    private GatewayDaemon(GatewaySettings settings, UnaryOperator<NetworkAddress> dialedEndpoint) throws IOException {
        this.settings = settings;
        self = new EntryIdentity(
                settings.entry(),
                System.currentTimeMillis(),
                settings.domain(),
                settings.callers(),
                settings.peer(),
                settings.readiness(),
                settings.relay(),
                settings.capacity());
        Metrics metrics = Metrics.create();
        worker = createWorker();
        endpointClient = HttpClient.onWorker(worker, dialedEndpoint);
        platformClient = HttpClient.onWorker(worker);
        reportRefusals(metrics);
        KeyValueClient keyValue = KeyValueClient.of(platformClient, settings.keyValueService());
        GatewayComponents components = GatewayComponents.of(settings, PlatformRecords.create());
        DeferredControlInput controlInput = new DeferredControlInput();
        peers = PeerTransport.of(
                self,
                GatewayComponents.codec(),
                entry -> peersSnapshot().find(entry),
                controlInput::offer,
                PeerTransport.PeerSecurity.none());
        control = ControlRunner.of(
                components.core(self),
                keyValue::submit,
                peers,
                List.of(
                        decisions,
                        EngineClient.of(platformClient, settings.entry(), System::nanoTime),
                        StoreClient.of(platformClient)));
        controlInput.connect(control);
        peers.start();
        control.start();
        relayService = RelayService.of(settings.entry(), endpointClient, endpointClient, this::relays);
        relayService.start(
                settings.relay(),
                Optional.empty(),
                entry -> peersSnapshot().find(entry).isPresent(),
                Optional.of(decisions));
        server = ServingServer.start(
                new ServingServices(
                        control::snapshot,
                        control,
                        relayService.endpoints(),
                        PlatformWireProtocol.create(),
                        decisions,
                        metrics,
                        settings.domain(),
                        settings.bounds().directoryTimeToLive(),
                        settings.bounds().unconfirmedKeyTimeout()),
                settings,
                worker,
                runs);
        addGauges(metrics, keyValue);
        worker.getIoThread(0)
                .executeAtInterval(this::reportCutOff, CUT_OFF_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void reportRefusals(Metrics metrics) {
        RefusalReporter reporter = RefusalReporter.of(metrics, decisions::write, System::nanoTime);
        endpointClient.setRefusalListener(reporter);
        platformClient.setRefusalListener(reporter);
    }

    private void reportCutOff() {
        boolean cutOff = relayService.isCutOff();
        if (cutOff != reportedCutOff) {
            reportedCutOff = cutOff;
            decisions.write(Decision.of("cut-off").with("cut_off", cutOff));
            control.offer(new CutOffChanged(cutOff));
        }
    }

    /** Returns the other entries of this one's region, through which a request may go in any case. */
    private ImmutableList<Relay> relays() {
        Optional<Region> region = settings.regions().of(settings.domain());
        return peersSnapshot().serving().stream()
                .filter(contact -> !contact.entry().equals(settings.entry()))
                .filter(contact -> settings.regions().of(contact.domain()).equals(region))
                .flatMap(contact -> contact.relays().map(address -> new Relay(contact.entry(), address)).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private void addGauges(Metrics metrics, KeyValueClient keyValue) {
        metrics.registerGauge("yuccagw_requests_in_progress", "Requests in progress on this entry", runs::count);
        relayService.registerGauges(metrics);
        metrics.registerGauge(
                "yuccagw_control_failures", "Control events whose handling failed", control::failureCount);
        metrics.registerGauge(
                "yuccagw_rate_limited_endpoints",
                "Endpoints that ask for fewer requests, as far as this entry knows",
                () -> control.snapshot()
                        .find(RateLimitsSnapshot.class)
                        .orElse(RateLimitsSnapshot.NONE)
                        .endpoints());
        metrics.registerGauge(
                "yuccagw_endpoints_leaving",
                "Endpoints that said in answers to this entry that they leave",
                () -> notices().leaving());
        metrics.registerGauge(
                "yuccagw_endpoints_backing_off",
                "Endpoints that want nothing from this entry for a while",
                () -> notices().backingOff());
        metrics.registerGauge(
                "yuccagw_requests_waiting",
                "Requests that wait here for an endpoint",
                () -> placement().waiting());
        metrics.registerGauge(
                "yuccagw_returns_reserved",
                "Refused callers that were told when to return",
                () -> placement().reservedReturns());
        metrics.registerGauge(
                "yuccagw_streams_placed",
                "Streams that this entry placed and that run",
                () -> placement().runningStreams());
        metrics.registerGauge(
                "yuccagw_stream_origins",
                "Streams of which this entry keeps what began them",
                () -> control.snapshot()
                        .find(OriginsSnapshot.class)
                        .orElse(OriginsSnapshot.NONE)
                        .kept());
        metrics.registerGauge(
                "yuccagw_key_value_calls_sent", "Calls sent to the key-value service", keyValue::callsSent);
    }

    private NoticesSnapshot notices() {
        return control.snapshot().find(NoticesSnapshot.class).orElse(NoticesSnapshot.NONE);
    }

    private PlacementSnapshot placement() {
        return control.snapshot().find(PlacementSnapshot.class).orElse(PlacementSnapshot.NONE);
    }

    /**
     * Starts an entry and returns once it listens on its addresses.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID if an address can't be used
     */
    public static GatewayDaemon start(GatewaySettings settings) throws YuccagwException {
        return start(settings, UnaryOperator.identity());
    }

    /**
     * Starts an entry as {@link #start(GatewaySettings)} does.
     *
     * @param dialedEndpoint returns where the entry connects for the registered address of an endpoint
     */
    static GatewayDaemon start(GatewaySettings settings, UnaryOperator<NetworkAddress> dialedEndpoint)
            throws YuccagwException {
        try {
            GatewayDaemon daemon = new GatewayDaemon(settings, dialedEndpoint);
            daemon.decisions.write(Decision.of("started")
                    .with("entry", settings.entry())
                    .with("incarnation", daemon.self.incarnation())
                    .with("callers", settings.callers())
                    .with("peer", settings.peer())
                    .with("seeds", settings.seeds()));
            return daemon;
        } catch (IOException | RuntimeException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "the entry can't be started: " + e.getMessage());
        }
    }

    /** Logs that the settings file was read again. Settings of this VM don't change until the process is restarted. */
    public void logSettingsRead(GatewaySettings reread) {
        decisions.write(Decision.of("settings-read").with("changed", !reread.equals(settings)));
    }

    /** Stops gracefully. Returns when the last request has ended, or shortly before the end of the grace time. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        long startNanos = System.nanoTime();
        decisions.write(Decision.of("stopping").with("running", runs.count()));
        server.closeConnectionsAfterAnswers();
        relayService.refuseNewRequests();
        control.offer(new StopRequested());
        Duration grace = settings.bounds().stopGrace();
        Duration acceptTime = Comparators.min(
                settings.bounds().directoryTimeToLive().multipliedBy(MAX_DIRECTORY_LIFETIMES_CACHED),
                grace.minus(COMPLETION_TIME));
        awaitUntil(startNanos + (long) (grace.toNanos() * NEW_STREAMS_GRACE_FRACTION), false);
        server.refuseNewStreams();
        server.refuseRequestsBeyond(startNanos + grace.minus(CLOSE_TIME).toNanos());
        awaitUntil(startNanos + acceptTime.toNanos(), false);
        server.refuseNewRequests();
        awaitUntil(startNanos + grace.minus(CLOSE_TIME).toNanos(), true);
        decisions.write(Decision.of("stopped").with("running", runs.count()));
        runs.endAll();
        awaitUntil(System.nanoTime() + END_TIME.toNanos(), true);
        close();
        stoppedLatch.countDown();
    }

    /** Stops immediately, like a crash. Used by tests of how other entries and callers react. */
    public synchronized void halt() {
        if (!stopped) {
            stopped = true;
            close();
        }
    }

    /** Waits until a graceful stop has completed. */
    public void awaitStopped() throws InterruptedException {
        stoppedLatch.await();
    }

    private void awaitUntil(long deadlineNanos, boolean orIdle) {
        while (System.nanoTime() - deadlineNanos < 0 && !(orIdle && runs.count() == 0 && relayService.count() == 0)) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private void close() {
        server.stop();
        relayService.stop();
        control.stop();
        peers.stop();
        // Writing the log may take a while, in which requests on open connections must still be refused.
        decisions.stop();
        endpointClient.stop();
        platformClient.stop();
        worker.shutdown();
    }

    private PeersSnapshot peersSnapshot() {
        return control.snapshot().find(PeersSnapshot.class).orElse(PeersSnapshot.none());
    }

    /**
     * Creates a worker with one I/O thread. The VM has less than one core, so a second thread would only add context
     * switches.
     */
    private static XnioWorker createWorker() throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "traffic")
                .getMap();
        return Xnio.getInstance().createWorker(options);
    }
}
