package org.yuccagw.core.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.routing.RouteExplanation;
import org.yuccagw.core.routing.RouteRequested;
import org.yuccagw.core.suspect.SuspectPart;

/** Creates requests that are ready to be tested, and the answers of their environment. */
final class TestRequests {
    static final SoftwareVersion SOFTWARE = SoftwareVersion.of("v1.1");

    private TestRequests() {}

    /** Returns a request that was sent to the engine e1 as leg 1 of attempt 1. */
    static RequestMachine sent(RecordedEffects effects, boolean idempotent, boolean keyed) {
        RequestMachine machine = machine(effects, idempotent, keyed);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        if (keyed) {
            machine.onClaim(new ClaimDecision.Granted());
        }
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(chosen("e1", 1));
        return machine;
    }

    /** Returns a request to a plain service that was sent to the endpoint e1 as leg 1 of attempt 1. */
    static RequestMachine sentPlain(RecordedEffects effects) {
        RequestMachine machine = RequestMachine.of(profile(false, false, Optional.empty()), effects);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(chosen("e1", 1));
        return machine;
    }

    /** The shared parts of each request's prompt. */
    static final ImmutableSet<SuspectPart> PARTS = ImmutableSet.of(new SuspectPart("assistant", "preamble"));

    static RequestMachine machine(RecordedEffects effects, boolean idempotent, boolean keyed) {
        WorkspaceId workspace = WorkspaceId.of("w");
        RequestId request = RequestId.of("r1");
        Optional<Claim> claim = keyed
                ? Optional.of(new Claim(workspace, IdempotencyKey.of("k"), "00", request, EntryId.of("entry-1")))
                : Optional.empty();
        return RequestMachine.of(profile(true, idempotent, claim), effects);
    }

    private static RequestProfile profile(boolean model, boolean idempotent, Optional<Claim> claim) {
        WorkspaceId workspace = WorkspaceId.of("w");
        return new RequestProfile(
                RequestId.of("r1"),
                workspace,
                ServiceName.of("assistant"),
                model,
                idempotent,
                true,
                claim,
                PromptFingerprint.of(workspace, new byte[] {1}),
                PARTS,
                Duration.ofSeconds(60),
                Duration.ofSeconds(20),
                Optional.empty());
    }

    static RouteRequested.Answer chosen(String endpoint, long attempt) {
        EndpointStatus status = new EndpointStatus(
                EndpointId.of(endpoint),
                VmId.of("vm-" + endpoint),
                1,
                "pool",
                NetworkAddress.of("127.0.0.1", 9),
                FailureDomain.of("d1"),
                true,
                Optional.of(WeightVersion.of("v1")),
                SOFTWARE);
        return new RouteRequested.Answer.Chosen(
                attempt, status, Optional.empty(), new RouteExplanation("test", ImmutableList.of()));
    }

    static AnswerHead head(String stream, String version) {
        return head(stream, version, SOFTWARE);
    }

    static AnswerHead head(String stream, String version, SoftwareVersion software) {
        return new AnswerHead(200, stream, version, software, ImmutableMap.of());
    }
}
