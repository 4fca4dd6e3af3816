package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.yuccagw.adapters.admin.AdminServer;
import org.yuccagw.adapters.cache.CacheCommandHandler;
import org.yuccagw.adapters.cache.ImportClient;
import org.yuccagw.adapters.caller.BlockImporter;
import org.yuccagw.adapters.caller.CallerServer;
import org.yuccagw.adapters.caller.CallerServices;
import org.yuccagw.adapters.caller.RetryDecider;
import org.yuccagw.adapters.caller.RunRegistry;
import org.yuccagw.adapters.control.ControlRunner;
import org.yuccagw.adapters.endpoint.OrderSender;
import org.yuccagw.adapters.endpoint.PlatformPoller;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.peer.PeerTransport;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.adapters.telemetry.RefusalReporter;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.adapters.tls.ReloadingTls;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.OwnLoadReported;
import org.yuccagw.core.membership.PeerAddresses;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.relay.Relay;
import org.yuccagw.core.retry.RetryPolicy;
import org.yuccagw.platform.KeyValueClient;

/**
 * An entry daemon: the control thread with its core, and the caller, admin and peer addresses.
 *
 * <p>A graceful stop takes these steps, so that no request is interrupted:
 *
 * <ol>
 *   <li>Announce to all entries that this entry is leaving, and release its shards.
 *   <li>Keep serving for as long as callers may use a cached directory that contains this entry.
 *   <li>Refuse new requests with an error that says they have not run.
 *   <li>Wait for the requests in progress, without a time limit.
 *   <li>Close the addresses.
 * </ol>
 */
public final class EntryDaemon {
    private static final Logger log = LogManager.getLogger(EntryDaemon.class);
    private static final int MAX_IO_THREADS = 8;
    private static final int CONTROL_IO_THREADS = 1;
    private static final Duration LOAD_REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    private final EntryIdentity self;
    private final ControlRunner control;
    private final PeerTransport peers;
    private final XnioWorker worker;
    private final HttpClient endpointClient;
    private final HttpClient relayClient;
    private final RelayService relayService;
    private final HttpClient entryClient;
    private final HttpClient platformClient;
    private final CallerServer callerServer;
    private final AdminServer adminServer;
    private final EntryTls tls;
    private final Traces traces;
    private final RunRegistry runs;
    private final CountDownLatch stoppedLatch = new CountDownLatch(1);
    private boolean stopped;

    private EntryDaemon(EntrySettings settings, UnaryOperator<NetworkAddress> dialedEndpoint)
            throws YuccagwException, IOException {
        self = identity(settings);
        tls = EntryTls.start(settings);
        traces = Traces.start(settings);
        Metrics metrics = Metrics.create();
        runs = RunRegistry.create();
        worker = createWorker();
        endpointClient = HttpClient.onWorker(worker, dialedEndpoint);
        relayClient = createRelayClient(settings);
        entryClient = createEntryClient(settings);
        platformClient = HttpClient.start(CONTROL_IO_THREADS);
        RefusalReporter refusals = RefusalReporter.of(metrics, EntryDaemon::logRefusal, System::nanoTime);
        Stream.of(endpointClient, relayClient, entryClient, platformClient)
                .forEach(client -> client.setRefusalListener(refusals));
        KeyValueClient keyValue = KeyValueClient.of(platformClient, settings.keyValueService());
        ControlComponents components = ControlComponents.of(self);
        DeferredControlInput controlInput = new DeferredControlInput();
        ImportClient importClient = ImportClient.of(platformClient, controlInput);
        peers = PeerTransport.of(self, components.codec(), this::peerAddress, controlInput::offer, tls.peers());
        control = ControlRunner.of(
                components.core(),
                keyValue::submit,
                peers,
                List.of(
                        PlatformPoller.of(platformClient, settings.vmList()),
                        OrderSender.of(platformClient, System::nanoTime),
                        CacheCommandHandler.of(platformClient, importClient)));
        controlInput.connect(control);
        peers.start();
        control.start();
        relayService = RelayService.of(settings.entry(), endpointClient, relayClient, this::relays);
        relayService.start(
                settings.relay(),
                tls.peerContext(),
                entry -> entries().anyMatch(status -> status.entry().equals(entry)),
                Optional.empty());
        CallerServices services = new CallerServices(
                settings,
                self,
                control::snapshot,
                control,
                relayService.endpoints(),
                entryClient,
                (endpoint, plan, version, onImported) -> importClient.importBlocks(
                        endpoint,
                        plan,
                        version,
                        imported -> onImported.accept(new BlockImporter.Outcome(imported.blocks(), imported.bytes()))),
                RetryDecider.of(RetryPolicy.defaults(), this::systemLimits),
                traces.tracer(),
                new EntryMetrics(metrics),
                runs);
        callerServer = CallerServer.start(services, worker, tls.caller(), new PrefetchEventFactory());
        adminServer =
                AdminServer.start(settings, tls.admin(), control::snapshot, control, metrics, traces, this::drain);
        addGauges(metrics, keyValue);
        scheduleLoadReports();
    }

    /**
     * Starts an entry and returns once it listens on its addresses. It accepts requests once {@code /readyz} of the
     * admin address reports that it is ready.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID if an address or a certificate can't be used
     */
    public static EntryDaemon start(EntrySettings settings) throws YuccagwException {
        return start(settings, UnaryOperator.identity());
    }

    /**
     * Starts an entry as {@link #start(EntrySettings)} does.
     *
     * @param dialedEndpoint returns where the entry connects for the registered address of an endpoint
     */
    public static EntryDaemon start(EntrySettings settings, UnaryOperator<NetworkAddress> dialedEndpoint)
            throws YuccagwException {
        try {
            EntryDaemon daemon = new EntryDaemon(settings, dialedEndpoint);
            log.info(
                    "entry {} incarnation {} listens for callers on {}, for operators on {}, for other entries on {}",
                    settings.entry(),
                    daemon.self.incarnation(),
                    settings.caller(),
                    settings.admin(),
                    settings.peer());
            return daemon;
        } catch (IOException | RuntimeException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, "the entry can't be started: " + e.getMessage());
        }
    }

    private static void logRefusal(Decision refusal) {
        log.warn("{} {}", refusal.event(), refusal.fields());
    }

    /** Returns whether this entry accepts new requests. */
    public boolean isReady() {
        return control.snapshot()
                .find(DirectorySnapshot.class)
                .map(DirectorySnapshot::ready)
                .orElse(false);
    }

    /** Stops gracefully. Returns when the last request has ended and all addresses are closed. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        log.info("entry {} is stopping, with {} requests in progress", self.entry(), runs.count());
        control.offer(new StopRequested());
        Duration directoryTimeToLive = control.snapshot()
                .find(DirectorySnapshot.class)
                .map(DirectorySnapshot::timeToLive)
                .orElse(Duration.ZERO);
        long untilNanos = System.nanoTime() + directoryTimeToLive.toNanos();
        await(() -> System.nanoTime() - untilNanos >= 0);
        callerServer.refuseNewRequests();
        relayService.refuseNewRequests();
        await(() -> runs.count() == 0 && relayService.count() == 0);
        close();
        log.info("entry {} has stopped", self.entry());
        stoppedLatch.countDown();
    }

    /** Waits until a graceful stop has completed, whether a signal or an operator requested it. */
    public void awaitStopped() throws InterruptedException {
        stoppedLatch.await();
    }

    private void drain() {
        Thread stopper = new Thread(this::stop, "graceful-stop");
        stopper.start();
    }

    /** Stops immediately, like a crash. Used by tests of how other entries and callers react. */
    public synchronized void halt() {
        if (!stopped) {
            stopped = true;
            close();
        }
    }

    private void close() {
        callerServer.stop();
        relayService.stop();
        adminServer.stop();
        control.stop();
        peers.stop();
        endpointClient.stop();
        entryClient.stop();
        relayClient.stop();
        platformClient.stop();
        worker.shutdown();
        traces.stop();
        tls.stop();
    }

    private HttpClient createEntryClient(EntrySettings settings) throws YuccagwException {
        return settings.callerTls().isPresent()
                ? HttpClient.onWorker(
                        worker,
                        ReloadingTls.clientContext(settings.callerTls().get().trusted()))
                : endpointClient;
    }

    private HttpClient createRelayClient(EntrySettings settings) throws YuccagwException {
        return settings.peerTls().isPresent()
                ? HttpClient.onWorker(worker, tls.peerContext().orElseThrow())
                : HttpClient.onWorker(worker);
    }

    private ImmutableList<Relay> relays() {
        return entries()
                .filter(status -> !status.entry().equals(self.entry()))
                .flatMap(status -> status.relayAddress().map(address -> new Relay(status.entry(), address)).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private Stream<EntryStatus> entries() {
        return control.snapshot().find(DirectorySnapshot.class).stream()
                .flatMap(directory -> directory.entries().stream());
    }

    private static EntryIdentity identity(EntrySettings settings) {
        return new EntryIdentity(
                settings.entry(),
                System.currentTimeMillis(),
                settings.domain(),
                settings.caller(),
                settings.peer(),
                settings.admin(),
                settings.relay(),
                EntryIdentity.DEFAULT_CAPACITY);
    }

    private static XnioWorker createWorker() throws IOException {
        int threads = Math.max(2, Math.min(MAX_IO_THREADS, Runtime.getRuntime().availableProcessors()));
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

    private Optional<NetworkAddress> peerAddress(org.yuccagw.core.id.EntryId entry) {
        return control.snapshot().find(PeerAddresses.class).flatMap(addresses -> addresses.find(entry));
    }

    private SystemLimits systemLimits() {
        return control.snapshot().find(Catalogue.class).map(Catalogue::system).orElse(SystemLimits.defaults());
    }

    private void scheduleLoadReports() {
        worker.getIoThread(0)
                .executeAtInterval(
                        () -> control.offer(new OwnLoadReported(runs.count())),
                        LOAD_REPORT_INTERVAL.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void addGauges(Metrics metrics, KeyValueClient keyValue) {
        metrics.registerGauge("yuccagw_requests_in_progress", "Requests in progress on this entry", runs::count);
        relayService.registerGauges(metrics);
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
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
