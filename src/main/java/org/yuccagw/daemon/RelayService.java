package org.yuccagw.daemon;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.relay.EndpointClient;
import org.yuccagw.adapters.relay.RelayServer;
import org.yuccagw.adapters.telemetry.DecisionLog;
import org.yuccagw.adapters.telemetry.Metrics;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.relay.DirectPaths;
import org.yuccagw.core.relay.Relay;
import org.yuccagw.core.relay.RelayChoice;

/** What an entry knows of its paths to endpoints, its client for them, and its server for requests of other entries. */
final class RelayService {
    private final DirectPaths paths = DirectPaths.create();
    private final HttpClient endpointClient;
    private final EndpointClient endpoints;
    private Optional<RelayServer> server = Optional.empty();

    private RelayService(
            EntryId self, HttpClient endpointClient, HttpClient relayClient, Supplier<ImmutableList<Relay>> relays) {
        this.endpointClient = endpointClient;
        RelayChoice choice =
                RelayChoice.of(relays, bound -> ThreadLocalRandom.current().nextInt(bound));
        this.endpoints = EndpointClient.of(endpointClient, relayClient, self, paths, choice);
    }

    /**
     * Creates the service of one entry, which relays nothing until {@link #start}.
     *
     * @param relayClient client for entries that relay
     * @param relays returns the other entries that relay at present
     */
    static RelayService of(
            EntryId self, HttpClient endpointClient, HttpClient relayClient, Supplier<ImmutableList<Relay>> relays) {
        return new RelayService(self, endpointClient, relayClient, relays);
    }

    /**
     * Relays requests of other entries from now on, if there is an address for it.
     *
     * @param tls encryption between entries; empty for plain text
     * @param isKnown returns whether an entry of this name belongs to the deployment
     */
    void start(
            Optional<NetworkAddress> address,
            Optional<SSLContext> tls,
            Predicate<EntryId> isKnown,
            Optional<DecisionLog> decisions) {
        server = address.map(
                each -> RelayServer.start(each, endpointClient.worker(), tls, endpoints, isKnown, decisions));
    }

    EndpointClient endpoints() {
        return endpoints;
    }

    /** Returns whether this entry reaches no endpoint itself. */
    boolean isCutOff() {
        return paths.isCutOff(System.nanoTime());
    }

    /** Returns the number of requests of other entries in progress. */
    int count() {
        return server.map(RelayServer::count).orElse(0);
    }

    void registerGauges(Metrics metrics) {
        metrics.registerGauge(
                "yuccagw_relayed_requests_in_progress",
                "Requests of other entries that this entry relays",
                this::count);
        metrics.registerGauge(
                "yuccagw_cut_off", "1 while this entry reaches no endpoint itself", () -> isCutOff() ? 1 : 0);
    }

    /** Refuses new requests of other entries from now on. Those in progress continue. */
    void refuseNewRequests() {
        server.ifPresent(RelayServer::refuseNewRequests);
    }

    void stop() {
        server.ifPresent(RelayServer::stop);
    }
}
