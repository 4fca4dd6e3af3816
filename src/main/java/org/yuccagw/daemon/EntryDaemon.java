package org.yuccagw.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.admin.AdminServer;
import org.yuccagw.adapters.cache.CacheCommandHandler;
import org.yuccagw.adapters.cache.ImportClient;
import org.yuccagw.adapters.caller.CallerServer;
import org.yuccagw.adapters.caller.CallerServices;
import org.yuccagw.adapters.caller.BlockImporter;
import org.yuccagw.adapters.caller.RetryDecider;
import org.yuccagw.adapters.caller.RunRegistry;
import org.yuccagw.adapters.control.ControlRunner;
import org.yuccagw.adapters.endpoint.OrderSender;
import org.yuccagw.adapters.endpoint.PlatformPoller;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.peer.PeerTransport;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.adapters.tls.ReloadingTls;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.OwnLoadReported;
import org.yuccagw.core.membership.PeerAddresses;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.platform.KeyValueClient;

/**
 * One entry: the control thread with its core, and the caller, admin and peer addresses.
 *
 * <p>A graceful stop goes in this order, so that no request is cut: tell everybody that this entry is leaving and give
 * its shards up; keep serving for as long as callers may keep a directory that names it; refuse new requests as not
 * run; wait for those in progress, however long they take; close the addresses.
 */
public final class EntryDaemon {
    private static final Logger log = LogManager.getLogger(EntryDaemon.class);
    private static final int MOST_IO_THREADS = 8;
    private static final int CONTROL_IO_THREADS = 1;
    private static final Duration LOAD_INTERVAL = Duration.ofSeconds(1);
    private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();

    private final EntryIdentity self;
    private final ControlRunner control;
    private final PeerTransport peers;
    private final XnioWorker worker;
    private final HttpClient traffic;
    private final HttpClient otherEntries;
    private final HttpClient platform;
    private final CallerServer callers;
    private final AdminServer admin;
    private final EntryTls security;
    private final Traces traces;
    private final RunRegistry runs;
    private final CountDownLatch end = new CountDownLatch(1);
    private boolean stopped;

    private EntryDaemon(EntrySettings settings) throws YuccagwException, IOException {
        self = identity(settings);
        security = EntryTls.start(settings);
        traces = Traces.start(settings);
        Metrics metrics = Metrics.create();
        runs = RunRegistry.create();
        worker = makeWorker();
        traffic = HttpClient.on(worker);
        otherEntries = toOtherEntries(settings);
        platform = HttpClient.start(CONTROL_IO_THREADS);
        KeyValueClient keyValue = KeyValueClient.of(platform, settings.keyValueService());
        ControlComponents components = ControlComponents.of(self);
        DeferredControlInput inputs = new DeferredControlInput();
        ImportClient imports = ImportClient.of(platform, inputs);
        peers = PeerTransport.of(self, components.codec(), this::peerAddress, inputs::offer, security.peers());
        control = ControlRunner.of(
                components.core(),
                keyValue::submit,
                peers,
                List.of(
                        PlatformPoller.of(platform, settings.vmList()),
                        OrderSender.of(platform, System::nanoTime),
                        CacheCommandHandler.of(platform, imports)));
        inputs.connect(control);
        peers.start();
        control.start();
        CallerServices services = new CallerServices(
                settings,
                self,
                control::snapshot,
                control,
                traffic,
                otherEntries,
                (endpoint, plan, version, done) -> imports.importBlocks(
                        endpoint,
                        plan,
                        version,
                        arrived -> done.accept(new BlockImporter.Outcome(arrived.blocks(), arrived.bytes()))),
                RetryDecider.of(RetryPolicy.defaults(), this::systemLimits),
                traces.tracer(),
                new EntryMetrics(metrics),
                runs);
        callers = CallerServer.start(services, worker, security.caller(), new PrefetchEventFactory());
        admin = AdminServer.start(settings, security.admin(), control::snapshot, control, metrics, traces, this::drain);
        addGauges(metrics, keyValue);
        tellLoad();
    }

    /**
     * Starts an entry and returns once its addresses listen. It takes work when {@code /readyz} of the admin address
     * says so.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID when an address or a certificate can't be used
     */
    public static EntryDaemon start(EntrySettings settings) throws YuccagwException {
        try {
            EntryDaemon daemon = new EntryDaemon(settings);
            log.info(
                    "entry {} incarnation {} listens for callers on {}, operators on {}, entries on {}",
                    settings.entry(),
                    daemon.self.incarnation(),
                    settings.caller(),
                    settings.admin(),
                    settings.peer());
            return daemon;
        } catch (IOException | RuntimeException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "the entry can't start: " + e.getMessage());
        }
    }

    /** Whether this entry takes new work. */
    public boolean isReady() {
        return control.snapshot()
                .part(DirectorySnapshot.class)
                .map(DirectorySnapshot::ready)
                .orElse(false);
    }

    /** Stops gracefully; returns when the last request has ended and all addresses are closed. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        log.info("entry {} stops: {} requests in progress", self.entry(), runs.count());
        control.offer(new StopRequested());
        Duration timeToLive = control.snapshot()
                .part(DirectorySnapshot.class)
                .map(DirectorySnapshot::timeToLive)
                .orElse(Duration.ZERO);
        long until = System.nanoTime() + timeToLive.toNanos();
        await(() -> System.nanoTime() - until >= 0);
        callers.refuseNewRequests();
        await(() -> runs.count() == 0);
        close();
        log.info("entry {} has stopped", self.entry());
        end.countDown();
    }

    /** Waits until a graceful stop, whoever asked for it, has come to its end. */
    public void awaitStopped() throws InterruptedException {
        end.await();
    }

    private void drain() {
        Thread stopping = new Thread(this::stop, "graceful-stop");
        stopping.start();
    }

    /** Ends at once, as a crash would; for tests of what others do then. */
    public synchronized void halt() {
        if (!stopped) {
            stopped = true;
            close();
        }
    }

    private void close() {
        callers.stop();
        admin.stop();
        control.stop();
        peers.stop();
        traffic.stop();
        otherEntries.stop();
        platform.stop();
        worker.shutdown();
        traces.stop();
        security.stop();
    }

    private HttpClient toOtherEntries(EntrySettings settings) throws YuccagwException {
        return settings.callerTls().isPresent()
                ? HttpClient.on(
                        worker,
                        ReloadingTls.clientContext(settings.callerTls().get().trusted()))
                : traffic;
    }

    private static EntryIdentity identity(EntrySettings settings) {
        return new EntryIdentity(
                settings.entry(),
                System.currentTimeMillis(),
                settings.domain(),
                settings.caller(),
                settings.peer(),
                settings.admin());
    }

    private static XnioWorker makeWorker() throws IOException {
        int threads = Math.max(2, Math.min(MOST_IO_THREADS, Runtime.getRuntime().availableProcessors()));
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, threads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 2)
                .set(Options.TCP_NODELAY, true)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "traffic")
                .getMap();
        return Xnio.getInstance().createWorker(options);
    }

    private Optional<org.yuccagw.core.id.NetworkAddress> peerAddress(org.yuccagw.core.id.EntryId entry) {
        return control.snapshot().part(PeerAddresses.class).flatMap(known -> known.find(entry));
    }

    private SystemLimits systemLimits() {
        return control.snapshot().part(Catalogue.class).map(Catalogue::system).orElse(SystemLimits.usual());
    }

    private void tellLoad() {
        worker.getIoThread(0)
                .executeAtInterval(
                        () -> control.offer(new OwnLoadReported(runs.count())),
                        LOAD_INTERVAL.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void addGauges(Metrics metrics, KeyValueClient keyValue) {
        metrics.registerGauge("yuccagw_requests_in_progress", "Requests in progress on this entry", runs::count);
        metrics.registerGauge("yuccagw_control_events", "Events handled by the control thread", control::eventCount);
        metrics.registerGauge(
                "yuccagw_control_failures", "Control events whose handling failed", control::failureCount);
        metrics.registerGauge("yuccagw_peer_sent_bytes", "Bytes sent to other entries", peers::sentBytes);
        metrics.registerGauge("yuccagw_peer_received_bytes", "Bytes received from other entries", peers::receivedBytes);
        metrics.registerGauge("yuccagw_peer_dropped_messages", "Messages to entries dropped", peers::droppedMessages);
        metrics.registerGauge(
                "yuccagw_key_value_calls_sent", "Calls sent to the key-value service", keyValue::callsSent);
        metrics.registerGauge(
                "yuccagw_key_value_down",
                "1 while the key-value service counts as down",
                () -> keyValue.isDown() ? 1 : 0);
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
