package org.yuccagw.bench.requests;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.bench.invariant.InvariantChecker;
import org.yuccagw.bench.invariant.ObservedRequest;
import org.yuccagw.bench.invariant.ObservedRequest.Sending;
import org.yuccagw.bench.invariant.ObservedRun;
import org.yuccagw.bench.invariant.Violation;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.claim.ClaimRequested;
import org.yuccagw.core.error.ErrorKind.Ran;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Callers, traffic and one endpoint of a call that must run at most once, around {@link VirtualEntries}.
 *
 * <p>The endpoint keeps its own record of what ran; the promises are judged by that record and by what callers were
 * told, never by the state of the cores.
 */
public final class KeyedCalls {
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("statistics");
    private static final Duration SEND_DELAY = Duration.ofMillis(2);
    private static final Duration STAND_STILL_CHECK = Duration.ofMillis(10);
    private static final Duration USUAL_RUN = Duration.ofMillis(40);

    private final VirtualEntries entries;
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Long> firstRunNanos = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private Duration runTime = USUAL_RUN;
    private boolean endpointRefuses;

    private KeyedCalls(VirtualEntries entries) {
        this.entries = entries;
    }

    public static KeyedCalls over(VirtualEntries entries) {
        return new KeyedCalls(entries);
    }

    /** One line of the endpoint's own record. */
    public record Run(String key, int attempt) {}

    /** What a caller was told. */
    public enum Told {
        NOTHING_YET,
        ANSWERED,
        NOT_RUN,
        FOLLOWS,
        MAY_HAVE_RUN
    }

    /** One attempt of a caller at one entry. */
    public static final class Attempt {
        private final int number;
        private final Claim claim;
        private final long askedNanos;
        private Told told = Told.NOTHING_YET;
        private Optional<ClaimDecision> decision = Optional.empty();
        private String text = "";
        private long decidedNanos;

        private Attempt(int number, Claim claim, long askedNanos) {
            this.number = number;
            this.claim = claim;
            this.askedNanos = askedNanos;
        }

        public int number() {
            return number;
        }

        public String key() {
            return claim.key().value();
        }

        public Told told() {
            return told;
        }

        public Optional<ClaimDecision> decision() {
            return decision;
        }

        public long askedNanos() {
            return askedNanos;
        }

        public long decidedNanos() {
            return decidedNanos;
        }
    }

    public void runTime(Duration time) {
        runTime = time;
    }

    /** From now on the endpoint refuses connections, so the entry knows that it sent nothing. */
    public void endpointRefuses(boolean refuses) {
        endpointRefuses = refuses;
    }

    /** A caller sends the call to an entry. */
    public Attempt call(EntryId entry, String key, String body) {
        int number = attempts.size();
        String hash = Hashing.sha256().hashString(body, StandardCharsets.UTF_8).toString();
        RequestId request = RequestId.of("request-" + number);
        Claim claim = new Claim(WORKSPACE, IdempotencyKey.of(key), hash, request, entry);
        Attempt attempt = new Attempt(number, claim, entries.nowNanos());
        attempts.add(attempt);
        entries.tell(entry, new ClaimRequested(attempt.claim, decision -> decided(attempt, decision)));
        return attempt;
    }

    private void decided(Attempt attempt, ClaimDecision decision) {
        attempt.decision = Optional.of(decision);
        attempt.decidedNanos = entries.nowNanos();
        if (decision instanceof ClaimDecision.Granted) {
            long incarnation = entries.incarnation(attempt.claim.entry());
            entries.after(SEND_DELAY, () -> send(attempt, incarnation));
        } else if (decision instanceof ClaimDecision.Running) {
            attempt.told = Told.FOLLOWS;
        } else if (decision instanceof ClaimDecision.Answered answered) {
            attempt.told = Told.ANSWERED;
            attempt.text = new String(answered.answer().body(), StandardCharsets.UTF_8);
        } else if (decision instanceof ClaimDecision.Refused refused) {
            attempt.told = refused.error().ran() == Ran.NOT_RUN ? Told.NOT_RUN : Told.MAY_HAVE_RUN;
        }
    }

    /** The entry's traffic sends the granted request, unless its process is dead; a paused one sends it later. */
    private void send(Attempt attempt, long incarnation) {
        EntryId entry = attempt.claim.entry();
        if (entries.incarnation(entry) != incarnation || entries.isDead(entry)) {
            return;
        }
        if (!entries.isUp(entry)) {
            entries.after(STAND_STILL_CHECK, () -> send(attempt, incarnation));
        } else if (endpointRefuses) {
            attempt.told = Told.NOT_RUN;
            entries.tell(entry, new ClaimEnded(attempt.claim, Outcome.NOT_SENT, Optional.empty()));
        } else {
            runs.add(new Run(attempt.key(), attempt.number()));
            firstRunNanos.putIfAbsent(attempt.key(), entries.nowNanos());
            entries.after(runTime, () -> answer(attempt, incarnation));
        }
    }

    private void answer(Attempt attempt, long incarnation) {
        EntryId entry = attempt.claim.entry();
        if (entries.incarnation(entry) != incarnation || entries.isDead(entry)) {
            return;
        }
        attempt.told = Told.ANSWERED;
        attempt.text = answerText(attempt.key());
        byte[] body = attempt.text.getBytes(StandardCharsets.UTF_8);
        Optional<KeptAnswer> kept = Optional.of(new KeptAnswer(200, "text/plain", body));
        entries.tell(entry, new ClaimEnded(attempt.claim, Outcome.ANSWERED, kept));
    }

    // ---- Judgement, from the endpoint's record.

    public List<Run> runs() {
        return List.copyOf(runs);
    }

    public long runsOf(String key) {
        return runs.stream().filter(run -> run.key().equals(key)).count();
    }

    /** Runs beyond the first of each key. */
    public long duplicates() {
        Map<String, Integer> counts = new HashMap<>();
        runs.forEach(run -> counts.merge(run.key(), 1, Integer::sum));
        return counts.values().stream().mapToLong(count -> count - 1).sum();
    }

    /** Attempts whose caller was told "not run" although the endpoint ran them. */
    public long liedRefusals() {
        Set<Integer> ran = new HashSet<>();
        runs.forEach(run -> ran.add(run.attempt()));
        return attempts.stream()
                .filter(attempt -> attempt.told() == Told.NOT_RUN && ran.contains(attempt.number()))
                .count();
    }

    /** Attempts whose caller was told "not run" after the endpoint had begun to run their key. */
    public List<Attempt> refusalsThatDenyARun() {
        return attempts.stream()
                .filter(attempt -> attempt.told() == Told.NOT_RUN)
                .filter(attempt -> firstRunNanos.getOrDefault(attempt.key(), Long.MAX_VALUE) < attempt.decidedNanos())
                .toList();
    }

    /** What the shared checker finds broken, answers included. */
    public List<Violation> violations() {
        Map<String, List<Sending>> sendings = new LinkedHashMap<>();
        List<Attempt> byDecision = attempts.stream()
                .sorted(Comparator.comparingLong(Attempt::decidedNanos))
                .toList();
        for (Attempt attempt : byDecision) {
            sendings.computeIfAbsent(attempt.key(), key -> new ArrayList<>()).add(sending(attempt));
        }
        List<ObservedRequest> requests = new ArrayList<>();
        sendings.forEach((key, sent) -> requests.add(new ObservedRequest(WORKSPACE.value(), marker(key), true, sent)));
        List<ObservedRun> observed = runs.stream()
                .map(run -> new ObservedRun("endpoint", run.key(), "", List.of(marker(run.key()))))
                .toList();
        return InvariantChecker.check(requests, observed);
    }

    private static Sending sending(Attempt attempt) {
        String expected = answerText(attempt.key());
        return switch (attempt.told()) {
            case ANSWERED -> Sending.answered(attempt.text, expected, List.of());
            case NOT_RUN -> Sending.notRun();
            default -> Sending.unclear("", expected, List.of());
        };
    }

    private static String marker(String key) {
        return "marker-" + key;
    }

    private static String answerText(String key) {
        return "answer of " + marker(key);
    }

    public long told(Told told) {
        return attempts.stream().filter(attempt -> attempt.told() == told).count();
    }

    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }
}
