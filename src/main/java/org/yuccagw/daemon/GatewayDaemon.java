package org.yuccagw.daemon;

import com.google.common.collect.Comparators;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
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
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.notice.NoticesSnapshot;
import org.yuccagw.core.peers.PeersSnapshot;
import org.yuccagw.core.ratelimit.RateLimitsSnapshot;
import org.yuccagw.platform.EngineClient;
import org.yuccagw.platform.KeyValueClient;
import org.yuccagw.platform.PlatformWireProtocol;
import org.yuccagw.platform.PlatformRecords;
import org.yuccagw.platform.StoreClient;

/**
 * One entry on the users' platform: the control thread with its core, one I/O thread for traffic, and the addresses for
 * callers, readiness, directory and other entries.
 *
 * <p>A graceful stop goes in this order, so that no request is cut: not ready any more, and out of every directory;
 * answers close their connections; requests of callers who kept an old directory are served for most of the grace time;
 * late ones are refused as not run; those in progress are waited for; then the process ends.
 */
public final class GatewayDaemon {
    private static final long POLL_NANOS = Duration.ofMillis(10).toNanos();

    /** Callers keep the directory for three times its time to live at most. */
    private static final int DIRECTORY_KEPT = 3;

    /** Left at the end of the grace time for short requests in progress. */
    private static final Duration LAST_REQUESTS = Duration.ofSeconds(2);

    /** A stream may take many seconds, so none begins once this part of the grace time has passed. */
    private static final double STREAMS_SHARE_OF_GRACE = 0.34;

    private static final Duration END_MARGIN = Duration.ofMillis(250);

    private final GatewaySettings settings;
    private final EntryIdentity self;
    private final DecisionLog decisions = DecisionLog.start();
    private final ActiveRequests runs = ActiveRequests.create();
    private final XnioWorker worker;
    private final HttpClient traffic;
    private final HttpClient platform;
    private final PeerTransport peers;
    private final ControlRunner control;
    private final ServingServer server;
    private final CountDownLatch end = new CountDownLatch(1);
    private boolean stopped;

    private GatewayDaemon(GatewaySettings settings) throws IOException {
        this.settings = settings;
        self = new EntryIdentity(
                settings.entry(),
                System.currentTimeMillis(),
                settings.domain(),
                settings.callers(),
                settings.peer(),
                settings.readiness(),
                settings.capacity());
        Metrics metrics = Metrics.create();
        worker = makeWorker();
        traffic = HttpClient.on(worker);
        platform = HttpClient.on(worker);
        KeyValueClient keyValue = KeyValueClient.of(platform, settings.keyValueService());
        GatewayComponents components = GatewayComponents.of(settings, PlatformRecords.create());
        DeferredControlInput inputs = new DeferredControlInput();
        peers = PeerTransport.of(
                self,
                GatewayComponents.codec(),
                entry -> peersSnapshot().find(entry),
                inputs::offer,
                PeerTransport.PeerSecurity.none());
        control = ControlRunner.of(
                components.core(self),
                keyValue::submit,
                peers,
                List.of(
                        decisions,
                        EngineClient.of(platform, settings.entry(), System::nanoTime),
                        StoreClient.of(platform)));
        inputs.connect(control);
        peers.start();
        control.start();
        server = ServingServer.start(
                new ServingServices(
                        control::snapshot,
                        control,
                        traffic,
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
    }

    private void addGauges(Metrics metrics, KeyValueClient keyValue) {
        metrics.registerGauge("yuccagw_requests_in_progress", "Requests in progress on this entry", runs::value);
        metrics.registerGauge(
                "yuccagw_control_failures", "Control events whose handling failed", control::failureCount);
        metrics.registerGauge(
                "yuccagw_rate_limited_endpoints",
                "Endpoints that ask for fewer requests, as far as this entry knows",
                () -> control.snapshot()
                        .part(RateLimitsSnapshot.class)
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
                "yuccagw_key_value_calls_sent", "Calls sent to the key-value service", keyValue::callsSent);
    }

    private NoticesSnapshot notices() {
        return control.snapshot().part(NoticesSnapshot.class).orElse(NoticesSnapshot.NONE);
    }

    /**
     * Starts an entry and returns once its addresses listen.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID when an address can't be used
     */
    public static GatewayDaemon start(GatewaySettings settings) throws YuccagwException {
        try {
            GatewayDaemon daemon = new GatewayDaemon(settings);
            daemon.decisions.write(Decision.of("started")
                    .with("entry", settings.entry())
                    .with("incarnation", daemon.self.incarnation())
                    .with("callers", settings.callers())
                    .with("peer", settings.peer())
                    .with("seeds", settings.seeds()));
            return daemon;
        } catch (IOException | RuntimeException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "the entry can't start: " + e.getMessage());
        }
    }

    /** Notes that the settings file was read again; what it tells of this VM can't change without a new start. */
    public void noteReload(GatewaySettings read) {
        decisions.write(Decision.of("settings-read").with("changed", !read.equals(settings)));
    }

    /** Stops gracefully; returns when the last request has ended or the grace time is nearly over. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        long begunNanos = System.nanoTime();
        decisions.write(Decision.of("stopping").with("running", runs.value()));
        server.closeConnectionsAfterAnswers();
        control.offer(new StopRequested());
        Duration grace = settings.bounds().stopGrace();
        Duration open = Comparators.min(
                settings.bounds().directoryTimeToLive().multipliedBy(DIRECTORY_KEPT), grace.minus(LAST_REQUESTS));
        awaitUntil(begunNanos + (long) (grace.toNanos() * STREAMS_SHARE_OF_GRACE), false);
        server.refuseNewStreams();
        awaitUntil(begunNanos + open.toNanos(), false);
        server.refuseNewRequests();
        awaitUntil(begunNanos + grace.minus(END_MARGIN).toNanos(), true);
        decisions.write(Decision.of("stopped").with("running", runs.value()));
        close();
        end.countDown();
    }

    /** Ends at once, as a crash would; for tests of what others do then. */
    public synchronized void halt() {
        if (!stopped) {
            stopped = true;
            close();
        }
    }

    /** Waits until a graceful stop has come to its end. */
    public void awaitStopped() throws InterruptedException {
        end.await();
    }

    private void awaitUntil(long nanos, boolean orIdle) {
        while (System.nanoTime() - nanos < 0 && !(orIdle && runs.value() == 0)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void close() {
        server.stop();
        control.stop();
        peers.stop();
        traffic.stop();
        platform.stop();
        worker.shutdown();
        decisions.stop();
    }

    private PeersSnapshot peersSnapshot() {
        return control.snapshot().part(PeersSnapshot.class).orElse(PeersSnapshot.none());
    }

    /** One I/O thread: the VM has less than a core, and a second thread would only add switches. */
    private static XnioWorker makeWorker() throws IOException {
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
