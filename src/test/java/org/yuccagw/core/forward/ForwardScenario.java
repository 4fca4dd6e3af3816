package org.yuccagw.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.deployment.ServiceShare;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.placing.PlacementDecision;

/** Requests, placements and answers for tests of {@link ForwardMachine}. */
abstract class ForwardScenario {
    static final ServiceName SERVICE = ServiceName.of("service");
    static final long FIRST_VERSION = 1;

    RecordedForwardEffects effects;
    private long tickets;

    @BeforeMethod
    public void createEffects() {
        effects = new RecordedForwardEffects();
        tickets = 0;
    }

    ForwardMachine begin(RouteKind kind, boolean resumable, int attempts) {
        return begin(kind, resumable, attempts, ForwardRequest.FROM_START);
    }

    ForwardMachine begin(RouteKind kind, boolean resumable, int attempts, long afterEvent) {
        Route route = new Route(
                "route",
                "a.example",
                "/",
                kind,
                Duration.ofMillis(800),
                Duration.ofMillis(150),
                Duration.ofMillis(200),
                1,
                ImmutableList.of(new ServiceShare(SERVICE, 1)),
                attempts,
                false,
                false,
                resumable,
                PermittedRegions.ANYWHERE);
        ForwardRequest request = new ForwardRequest(
                RequestId.of("r1"),
                route,
                SERVICE,
                Optional.empty(),
                Optional.empty(),
                Duration.ofMillis(1500),
                "fingerprint",
                afterEvent,
                Optional.empty());
        ForwardMachine machine = ForwardMachine.of(request, effects);
        machine.begin();
        return machine;
    }

    /** Passes the time after which the current stream counts as silent. */
    void passSilenceTimeout(ForwardMachine machine) {
        effects.advance(Duration.ofMillis(700));
        machine.onTimer(TimerKind.GAP, 1);
    }

    long sentLegs() {
        return effects.lines.stream()
                .filter(line -> line.startsWith("send leg"))
                .count();
    }

    static PlacementDecision refused() {
        return new PlacementDecision.Refused(ErrorKind.RETRY_BUDGET_SPENT.raise(SERVICE));
    }

    PlacementDecision placed(String endpoint) {
        return placed(endpoint, false);
    }

    PlacementDecision placed(String endpoint, boolean rateLimited) {
        ListedEndpoint listed = new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of(endpoint), 1),
                SERVICE,
                NetworkAddress.of("127.0.0.1", 1),
                FailureDomain.of("a"),
                SoftwareVersion.of("v1"),
                4,
                false,
                0,
                ImmutableMap.of(),
                0);
        return new PlacementDecision.Placed(
                ++tickets,
                listed,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                1,
                40,
                rateLimited);
    }

    static EndpointAnswerHead ok() {
        return answer(200, true, true);
    }

    static EndpointAnswerHead answer(int status, boolean forThisRequest, boolean sealed) {
        return new EndpointAnswerHead(
                status,
                forThisRequest,
                sealed,
                false,
                false,
                false,
                OptionalLong.of(FIRST_VERSION),
                EndpointNotice.NONE);
    }

    static EndpointAnswerHead withNotice(EndpointAnswerHead head, EndpointNotice notice) {
        return new EndpointAnswerHead(
                head.status(),
                head.forThisRequest(),
                head.sealed(),
                head.notRun(),
                head.fromOtherEndpoint(),
                head.encoded(),
                head.version(),
                notice);
    }

    static EndpointAnswerHead notRun(int status) {
        return new EndpointAnswerHead(
                status, true, false, true, false, false, OptionalLong.empty(), EndpointNotice.NONE);
    }

    static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
