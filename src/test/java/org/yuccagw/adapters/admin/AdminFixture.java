package org.yuccagw.adapters.admin;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.opentelemetry.api.trace.Span;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;
import org.yuccagw.adapters.settings.CatalogueJson;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.adapters.settings.EntrySettingsReader;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.adapters.telemetry.Traces;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoresRequested;
import org.yuccagw.core.catalogue.AcceptedEdit;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueEditRequested;
import org.yuccagw.core.catalogue.CatalogueHistoryRequested;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlCore;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.membership.DirectorySnapshot;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.StopRequested;

/**
 * An admin server on the loopback interface with a simulated control core, which accepts an edit that is based on the
 * current revision.
 */
public final class AdminFixture {
    public static final String BOOTSTRAP_KEY = "bootstrap-operator-key";
    public static final String OPERATOR_KEY = "operator-key";
    public static final String REQUEST = "0123456789abcdef";

    private final List<ControlEvent> offered = new CopyOnWriteArrayList<>();
    private final EntrySettings settings;
    private final EntryIdentity identity;
    private final Traces traces;
    private final AdminServer server;
    private volatile Catalogue catalogue = Catalogue.empty();
    private volatile boolean ready = true;

    private AdminFixture(EntrySettings settings) {
        this.settings = settings;
        this.identity = new EntryIdentity(
                settings.entry(), 1, settings.domain(), settings.caller(), settings.peer(), settings.admin());
        this.traces = Traces.start(settings);
        this.server = AdminServer.start(
                settings,
                Optional.empty(),
                this::snapshot,
                this::offer,
                Metrics.create(),
                traces,
                () -> offer(new StopRequested()));
        Span span = traces.tracer()
                .spanBuilder("request")
                .setAttribute(Traces.REQUEST, REQUEST)
                .setAttribute("policy", "shortest")
                .setAttribute("score", 1.0 / 3)
                .startSpan();
        span.end();
    }

    public static AdminFixture start() throws Exception {
        String sample = Files.readString(Path.of("config/samples/entry.json"));
        String text = sample.replace("127.0.0.1:8081", "127.0.0.1:" + freePort());
        return new AdminFixture(EntrySettingsReader.parse(text.getBytes(StandardCharsets.UTF_8)));
    }

    public void stop() {
        server.stop();
        traces.stop();
    }

    public NetworkAddress address() {
        return settings.admin();
    }

    public List<ControlEvent> offered() {
        return offered;
    }

    public void setReady(boolean value) {
        ready = value;
    }

    public void useSampleCatalogue(long revision) throws Exception {
        catalogue = CatalogueJson.create()
                .decode(Files.readAllBytes(Path.of("config/samples/catalogue.json")))
                .atRevision(revision);
    }

    public void removeCatalogue() {
        catalogue = Catalogue.empty();
    }

    public static String hash(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private ControlSnapshot snapshot() {
        ControlCore core =
                ControlCore.of(identity, RandomGenerator.of("L64X128MixRandom"), List.of(new FixtureComponent()));
        core.start(0, 0);
        return core.snapshot();
    }

    private void offer(ControlEvent event) {
        offered.add(event);
        if (event instanceof CatalogueEditRequested request) {
            request.reply().accept(decideEdit(request));
        } else if (event instanceof CatalogueHistoryRequested request) {
            AcceptedEdit edit = new AcceptedEdit(catalogue.revision(), "first", "operator", 0);
            request.reply().accept(new CatalogueHistoryRequested.Result.History(ImmutableList.of(edit)));
        } else if (event instanceof StoresRequested request) {
            request.reply().accept(ImmutableList.of(store()));
        }
    }

    private static StoresRequested.StoreStatus store() {
        StoreUpdate.Usage memory = new StoreUpdate.Usage(1, 64);
        return new StoresRequested.StoreStatus(
                StoreId.of("store-1"),
                NetworkAddress.of("127.0.0.1", 7),
                true,
                memory,
                StoreUpdate.Usage.unknown(),
                0,
                0);
    }

    private CatalogueEditRequested.Result decideEdit(CatalogueEditRequested request) {
        long revision = catalogue.revision();
        if (request.baseRevision() != revision) {
            return new CatalogueEditRequested.Result.Refused(
                    ErrorKind.CATALOGUE_CONFLICT.raise(revision, "services/assistant/owner"));
        }
        catalogue = request.wanted().atRevision(revision + 1);
        return new CatalogueEditRequested.Result.Accepted(revision + 1);
    }

    private final class FixtureComponent implements ControlComponent {
        @Override
        public void handle(ControlEvent event, ControlContext context) {}

        @Override
        public void contribute(ControlSnapshot.Builder snapshot) {
            EntryStatus self = new EntryStatus(
                    identity.entry(),
                    1,
                    EntryStatus.State.ALIVE,
                    identity.domain(),
                    identity.callerAddress(),
                    identity.peerAddress(),
                    identity.adminAddress(),
                    identity.relayAddress(),
                    0,
                    catalogue.revision());
            String reason = ready ? "" : "has no catalogue";
            snapshot.put(Catalogue.class, catalogue);
            snapshot.put(
                    DirectorySnapshot.class,
                    new DirectorySnapshot(ImmutableList.of(self), ready, reason, Duration.ofSeconds(5)));
        }
    }
}
