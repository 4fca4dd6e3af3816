package org.yuccagw.bench.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.claim.ClaimRequested;
import org.yuccagw.core.error.ErrorKind.Ran;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.WorkspaceId;

/** Keyed calls of callers, and the record of the endpoint that runs them. */
final class FuzzCalls {
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("workspace-0");
    private static final String BODY_HASH = "ab".repeat(32);
    private static final Duration SEND_DELAY = Duration.ofMillis(2);
    private static final Duration RUN_TIME = Duration.ofMillis(40);

    private final ControlBench bench;
    private final List<String> ranKeys = new ArrayList<>();
    private final Set<RequestId> ranRequests = new HashSet<>();
    private final Set<RequestId> toldNotRun = new HashSet<>();
    private int keys;
    private int requests;

    FuzzCalls(ControlBench bench) {
        this.bench = bench;
    }

    void callNew(BenchNode node) {
        call(node, "key-" + keys++);
    }

    void callAgain(BenchNode node, int which) {
        call(node, "key-" + (keys == 0 ? 0 : which % keys));
    }

    void callTwice(BenchNode one, BenchNode other) {
        String key = "key-" + keys++;
        call(one, key);
        call(other, key);
    }

    /** Keys that the endpoint ran more than once, by its own record. */
    List<String> ranTwice() {
        Set<String> seen = new HashSet<>();
        return ranKeys.stream().filter(key -> !seen.add(key)).distinct().toList();
    }

    /** Requests whose caller was told "not run", and that the endpoint ran. */
    List<RequestId> refusedAndRan() {
        return toldNotRun.stream().filter(ranRequests::contains).sorted().toList();
    }

    /** Runs without any claim, to show that the record gives it away. */
    void runBehindTheBackOfClaims(String key, int times) {
        for (int i = 0; i < times; i++) {
            ranKeys.add(key);
        }
    }

    private void call(BenchNode node, String key) {
        RequestId request = RequestId.of("request-" + requests++);
        Claim claim = new Claim(WORKSPACE, IdempotencyKey.of(key), BODY_HASH, request, node.entry());
        node.offer(new ClaimRequested(claim, decision -> decided(node, claim, decision)));
    }

    private void decided(BenchNode node, Claim claim, ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Granted) {
            bench.time().after(SEND_DELAY, () -> node.offer(new FuzzWorld.TrafficWork(() -> run(node, claim))));
        } else if (decision instanceof ClaimDecision.Refused refused
                && refused.error().ran() == Ran.NOT_RUN) {
            toldNotRun.add(claim.request());
        }
    }

    private void run(BenchNode node, Claim claim) {
        ranKeys.add(claim.key().value());
        ranRequests.add(claim.request());
        bench.time()
                .after(
                        RUN_TIME,
                        () -> node.offer(new ClaimEnded(claim, ClaimEnded.Outcome.ANSWERED, Optional.empty())));
    }
}
