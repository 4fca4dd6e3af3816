package org.yuccagw.bench.invariant;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.yuccagw.bench.invariant.ObservedRequest.Sending;
import org.yuccagw.bench.invariant.ObservedRequest.Verdict;
import org.yuccagw.bench.invariant.Violation.Promise;
import org.yuccagw.standins.http.Markers;

/**
 * Holds what callers saw against what endpoints did.
 *
 * <p>Every request carries a marker word of its own, which ties its runs to it without any help of the system under
 * test:
 *
 * <ol>
 *   <li>a non-idempotent request's marker occurs in one run at most, and so does its key within the requests that share
 *       it;
 *   <li>the marker of a request whose every sending was refused as "not run" occurs in no run, and no sending of a
 *       non-idempotent request is refused so after an earlier one received a part of the answer;
 *   <li>an answer that ended well is the expected text with tokens numbered 1, 2, 3, ...; one that broke off is a start
 *       of it;
 *   <li>no run holds markers of two workspaces, no salt serves two workspaces, no answer holds another one's marker.
 * </ol>
 *
 * <p>Example: two runs that hold {@code marker-w1-7}, whose request is non-idempotent, break AT_MOST_ONCE.
 */
public final class InvariantChecker {
    private final List<ObservedRequest> requests;
    private final List<ObservedRun> runs;
    private final SetMultimap<String, ObservedRun> runsByMarker = HashMultimap.create();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, String> workspaceByMarker = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private InvariantChecker(List<ObservedRequest> requests, List<ObservedRun> runs) {
        this.requests = requests;
        this.runs = runs;
        for (ObservedRun run : runs) {
            for (String marker : run.markers()) {
                runsByMarker.put(marker, run);
                runCounts.merge(marker, 1, Integer::sum);
            }
        }
        requests.forEach(request -> workspaceByMarker.put(request.marker(), request.workspace()));
    }

    /** Everything that is broken; empty if nothing is. */
    public static List<Violation> check(List<ObservedRequest> requests, List<ObservedRun> runs) {
        InvariantChecker checker = new InvariantChecker(requests, runs);
        requests.forEach(checker::checkRequest);
        checker.checkKeys();
        checker.checkWorkspaces();
        return List.copyOf(checker.violations);
    }

    private void checkRequest(ObservedRequest request) {
        int count = runCounts.getOrDefault(request.marker(), 0);
        if (request.nonIdempotent() && count > 1) {
            breach(Promise.AT_MOST_ONCE, request.marker() + " ran " + count + " times, at " + places(request));
        }
        boolean refused = !request.sendings().isEmpty()
                && request.sendings().stream().allMatch(sending -> sending.verdict() == Verdict.NOT_RUN);
        if (refused && count > 0) {
            breach(Promise.TRUE_REFUSALS, request.marker() + " was refused as not run and ran at " + places(request));
        }
        if (request.nonIdempotent() && deniesEarlierRun(request.sendings())) {
            breach(Promise.TRUE_REFUSALS, request.marker() + " was refused as not run after it had run");
        }
        request.sendings().forEach(sending -> checkAnswer(request, sending));
    }

    private static boolean deniesEarlierRun(List<Sending> sendings) {
        boolean ran = false;
        for (Sending sending : sendings) {
            if (ran && sending.verdict() == Verdict.NOT_RUN) {
                return true;
            }
            ran |= sending.verdict() == Verdict.ANSWERED || !sending.text().isEmpty();
        }
        return false;
    }

    private void checkAnswer(ObservedRequest request, Sending sending) {
        boolean whole = sending.verdict() == Verdict.ANSWERED;
        boolean right = whole
                ? sending.text().equals(sending.expected())
                : sending.expected().startsWith(sending.text());
        if (!right) {
            breach(
                    Promise.WHOLE_ANSWERS,
                    request.marker() + " got '" + sending.text() + "' in place of '" + sending.expected() + "'");
        }
        for (int i = 0; i < sending.tokenNumbers().size(); i++) {
            if (sending.tokenNumbers().get(i) != i + 1) {
                breach(Promise.WHOLE_ANSWERS, request.marker() + " got tokens numbered " + sending.tokenNumbers());
                break;
            }
        }
        for (String marker : Markers.in(sending.text())) {
            String owner = workspaceByMarker.getOrDefault(marker, request.workspace());
            if (!owner.equals(request.workspace())) {
                breach(Promise.WORKSPACES_APART, request.marker() + " was answered with " + marker + " of " + owner);
            }
        }
    }

    /** A key belongs to one workspace; within it, all its runs are of one request. */
    private void checkKeys() {
        Map<String, Integer> counts = new HashMap<>();
        for (ObservedRun run : runs) {
            if (!run.idempotencyKey().isEmpty() && isNonIdempotent(run)) {
                counts.merge(workspaceOf(run) + " " + run.idempotencyKey(), 1, Integer::sum);
            }
        }
        counts.forEach((key, count) -> {
            if (count > 1) {
                breach(Promise.AT_MOST_ONCE, "key " + key + " ran " + count + " times");
            }
        });
    }

    private void checkWorkspaces() {
        SetMultimap<String, String> workspacesBySalt = HashMultimap.create();
        for (ObservedRun run : runs) {
            Set<String> workspaces = workspacesOf(run);
            if (workspaces.size() > 1) {
                breach(Promise.WORKSPACES_APART, "one run at " + run.place() + " holds " + run.markers());
            }
            if (!run.salt().isEmpty()) {
                workspacesBySalt.putAll(run.salt(), workspaces);
            }
        }
        workspacesBySalt.asMap().forEach((salt, workspaces) -> {
            if (workspaces.size() > 1) {
                breach(Promise.WORKSPACES_APART, "salt " + salt + " serves " + workspaces);
            }
        });
    }

    private boolean isNonIdempotent(ObservedRun run) {
        return requests.stream()
                .anyMatch(request -> request.nonIdempotent() && run.markers().contains(request.marker()));
    }

    private String workspaceOf(ObservedRun run) {
        return String.join(",", workspacesOf(run));
    }

    private Set<String> workspacesOf(ObservedRun run) {
        Set<String> workspaces = new TreeSet<>();
        for (String marker : run.markers()) {
            String workspace = workspaceByMarker.get(marker);
            if (workspace != null) {
                workspaces.add(workspace);
            }
        }
        return workspaces;
    }

    private List<String> places(ObservedRequest request) {
        return runsByMarker.get(request.marker()).stream()
                .map(ObservedRun::place)
                .distinct()
                .sorted()
                .toList();
    }

    private void breach(Promise promise, String detail) {
        violations.add(new Violation(promise, detail));
    }
}
