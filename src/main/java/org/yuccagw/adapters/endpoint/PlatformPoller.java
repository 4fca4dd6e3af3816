package org.yuccagw.adapters.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.yuccagw.adapters.http.BoundedJson;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.HttpResponse;
import org.yuccagw.core.control.ActionHandler;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.endpoint.EndpointReported;
import org.yuccagw.core.endpoint.PlatformListed;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.endpoint.ProbeEndpoint;
import org.yuccagw.core.endpoint.ProbeFailed;
import org.yuccagw.core.endpoint.ReadPlatformList;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;

/**
 * Reads the platform's list of VMs and probes endpoints, for the control component that tracks endpoints.
 *
 * <p>A failed probe is retried once. The failed connection is closed and the retry uses a new one, so a reused
 * connection that has become silent doesn't make a probe fail if the endpoint answers on a new connection.
 */
public final class PlatformPoller implements ActionHandler {
    private static final Logger log = LogManager.getLogger(PlatformPoller.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);
    private static final ObjectMapper JSON = BoundedJson.mapper();

    private final HttpClient httpClient;
    private final NetworkAddress listAddress;
    private final AtomicBoolean listFailed = new AtomicBoolean();

    private PlatformPoller(HttpClient httpClient, NetworkAddress listAddress) {
        this.httpClient = httpClient;
        this.listAddress = listAddress;
    }

    public static PlatformPoller of(HttpClient httpClient, NetworkAddress listAddress) {
        return new PlatformPoller(httpClient, listAddress);
    }

    @Override
    public boolean perform(ControlAction action, ControlInput input) {
        if (action instanceof ReadPlatformList) {
            readList(input);
            return true;
        }
        if (action instanceof ProbeEndpoint probe) {
            probe(probe, input, true);
            return true;
        }
        return false;
    }

    private void readList(ControlInput input) {
        httpClient.send(get(listAddress, "/v1/vms")).whenComplete((answer, failure) -> {
            try {
                if (failure != null || !answer.isSuccess()) {
                    throw new IOException(failure != null ? failure.getMessage() : "status " + answer.status());
                }
                input.offer(parseVms(JSON.readTree(answer.body())));
                listFailed.set(false);
            } catch (IOException | RuntimeException e) {
                if (!listFailed.getAndSet(true)) {
                    log.warn(
                            "the list of VMs at {} could not be read; keeping the previous one: {}",
                            listAddress,
                            e.toString());
                }
            }
        });
    }

    private static PlatformListed parseVms(JsonNode answer) throws IOException {
        if (!answer.path("vms").isArray()) {
            throw new IOException("the answer has no array 'vms'");
        }
        List<ListedVm> vms = new ArrayList<>();
        for (JsonNode vm : answer.path("vms")) {
            vms.add(new ListedVm(
                    VmId.of(vm.path("vm").asText()),
                    vm.path("incarnation").asLong(),
                    vm.path("state").asText().equals("leaving"),
                    parseKind(vm.path("kind").asText()),
                    vm.path("name").asText(),
                    vm.path("pool").asText(""),
                    FailureDomain.of(vm.path("domain").asText()),
                    NetworkAddress.parse(vm.path("address").asText())));
        }
        return new PlatformListed(vms);
    }

    private static VmKind parseKind(String text) {
        return VmKind.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private void probe(ProbeEndpoint probe, ControlInput input, boolean mayRetry) {
        httpClient
                .send(probeRequest(probe, "/v1/state", mayRetry))
                .thenCombine(
                        httpClient.send(probeRequest(probe, "/v1/load", mayRetry)),
                        (state, load) -> toReport(probe, state, load))
                .whenComplete((report, failure) -> {
                    if (failure == null) {
                        input.offer(report);
                    } else if (mayRetry) {
                        probe(probe, input, false);
                    } else {
                        input.offer(new ProbeFailed(probe.endpoint(), probe.incarnation()));
                    }
                });
    }

    /** A retry uses a new connection, because the state of all idle connections may have been dropped together. */
    private static HttpRequest probeRequest(ProbeEndpoint probe, String path, boolean firstAttempt) {
        HttpRequest httpRequest = get(probe.address(), path);
        return firstAttempt ? httpRequest : httpRequest.withNewConnection();
    }

    private static EndpointReported toReport(ProbeEndpoint probe, HttpResponse stateAnswer, HttpResponse loadAnswer) {
        JsonNode state = parse(stateAnswer);
        JsonNode load = parse(loadAnswer);
        String version = state.path("version").asText("");
        return new EndpointReported(
                probe.endpoint(),
                state.path("incarnation").asLong(probe.incarnation()),
                state.path("leaving").asBoolean(false),
                version.isEmpty() ? Optional.empty() : Optional.of(WeightVersion.of(version)),
                softwareOf(state),
                state.path("adapter").asText(""),
                state.path("role").asText(""),
                state.path("loading").asBoolean(false),
                load.path("running").asInt(0),
                load.path("waiting").asInt(0),
                load.path("waiting_prefill_tokens").asLong(0));
    }

    private static SoftwareVersion softwareOf(JsonNode state) {
        String software = state.path("software").asText("");
        return software.isBlank() ? SoftwareVersion.UNSTATED : SoftwareVersion.of(software);
    }

    /**
     * Parses a JSON object. Any other answer fails the probe, because the address of a removed VM may have been
     * assigned to another process.
     */
    private static JsonNode parse(HttpResponse answer) {
        if (!answer.isSuccess()) {
            throw new IllegalStateException("status " + answer.status());
        }
        try {
            JsonNode parsed = JSON.readTree(answer.body());
            if (parsed instanceof ObjectNode) {
                return parsed;
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        throw new IllegalStateException("the answer isn't a JSON object");
    }

    private static HttpRequest get(NetworkAddress address, String path) {
        return HttpRequest.get(address, path).withTimeouts(CONNECT_TIMEOUT, SILENCE_TIMEOUT);
    }
}
