package org.yuccagw.daemon;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.VirtualTime;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.forward.EndpointAnswerHead;
import org.yuccagw.core.forward.ForwardEffects;
import org.yuccagw.core.forward.ForwardMachine;
import org.yuccagw.core.forward.ForwardRequest;
import org.yuccagw.core.forward.SilenceOutcome;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest;
import org.yuccagw.core.placing.StreamContinuation;
import org.yuccagw.core.port.BodyEnd;

/**
 * A caller in virtual time whose request is driven by a {@link ForwardMachine} at an entry. It checks what it receives,
 * and what its endpoints are asked to do, against what callers are promised. A caller of a stream leaves after the
 * longest pause that callers wait for.
 */
final class VirtualCaller implements ForwardEffects {
    /** Callers leave a stream after this pause, four times the target or eight times the allowed gap. */
    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);

    private static final int PATIENCE_TARGETS = 4;
    private static final int PATIENCE_GAPS = 8;

    /** Two endpoints that work on one request for longer than this do the work twice. */
    private static final Duration MAX_OVERLAP = Duration.ofMillis(400);

    private final VirtualTime time;
    private final BenchNode node;
    private final Map<EndpointId, PausingEndpoint> endpoints;
    private final ForwardRequest request;
    private final int events;
    private final ForwardMachine machine;
    private final long begunNanos;
    private final Map<ForwardMachine.TimerKind, Integer> timerGenerations =
            new EnumMap<>(ForwardMachine.TimerKind.class);
    private final Map<Long, Leg> legs = new LinkedHashMap<>();
    private final Map<Long, Integer> openTickets = new LinkedHashMap<>();
    private final StringBuilder received = new StringBuilder();
    private final List<String> trace = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<Long, PausingEndpoint.Reaction> reactions = new LinkedHashMap<>();
    private Optional<PausingEndpoint.Failure> failure = Optional.empty();
    private OptionalInt silentBeforeEvent = OptionalInt.empty();
    private boolean faultForwarded;
    private boolean refusedAsSuspect;
    private int patienceGeneration;
    private Outcome outcome = Outcome.OPEN;

    /** How the request ended for the caller. */
    enum Outcome {
        OPEN,
        COMPLETE,
        CUT,
        /** The entry answered with an error. */
        ERROR,
        /** The error answer of an endpoint was forwarded. */
        FAULT,
        LEFT
    }

    private VirtualCaller(
            VirtualTime time,
            BenchNode node,
            Map<EndpointId, PausingEndpoint> endpoints,
            ForwardRequest request,
            int events) {
        this.time = time;
        this.node = node;
        this.endpoints = endpoints;
        this.request = request;
        this.events = events;
        this.begunNanos = time.nowNanos();
        this.machine = ForwardMachine.of(request, this);
    }

    /** Creates a caller; {@link #begin} sends its request. */
    static VirtualCaller of(
            VirtualTime time,
            BenchNode node,
            Map<EndpointId, PausingEndpoint> endpoints,
            ForwardRequest request,
            int events) {
        return new VirtualCaller(time, node, endpoints, request, events);
    }

    void begin() {
        waitForProgress();
        machine.begin();
    }

    /** Lets the connection of the first attempt fall silent for good before this event, -1 for before the head. */
    void loseFirstConnectionBefore(int event) {
        silentBeforeEvent = OptionalInt.of(event);
    }

    /** Sets how the endpoints react to the sends of the request, in this order, in place of their own reactions. */
    void setReactions(PausingEndpoint.Reaction... ofSends) {
        for (int index = 0; index < ofSends.length; index++) {
            reactions.put(index + 1L, ofSends[index]);
        }
    }

    /** Lets each endpoint fail that the request is sent to. */
    void failAll(PausingEndpoint.Failure ofAllSends) {
        failure = Optional.of(ofAllSends);
    }

    /** Returns the endpoint to which the request was sent first. */
    PausingEndpoint firstEndpoint() {
        return legs.get(1L).run.endpoint();
    }

    Outcome outcome() {
        return outcome;
    }

    boolean isRepeatable() {
        return request.route().repeatable();
    }

    boolean isResumable() {
        return request.route().resumable();
    }

    /** Returns the number of endpoints that received the request. */
    long arrivals() {
        return legs.values().stream().filter(leg -> leg.run.hasArrived()).count();
    }

    /** Returns the times at which endpoints received the request. */
    List<Long> arrivalNanos() {
        return arrivedRuns().stream().map(PausingEndpoint.Run::arrivedNanos).toList();
    }

    long begunNanos() {
        return begunNanos;
    }

    /** Returns whether the entry refused the request since such requests ended endpoints. */
    boolean isRefusedAsSuspect() {
        return refusedAsSuspect;
    }

    /** Returns what was promised and not kept, checked once all requests have ended. */
    List<String> violations() {
        checkRuns();
        if (outcome == Outcome.OPEN) {
            violations.add("never ended");
        }
        openTickets.forEach((ticket, open) -> {
            if (open != 0) {
                violations.add("placement " + ticket + " ended " + (1 - open) + " times");
            }
        });
        return violations;
    }

    /** Returns the history of the request, for failure messages. */
    String trace() {
        return request.id() + " " + request.route().name() + ": " + String.join("; ", trace);
    }

    // ---- Checks

    private void checkRuns() {
        long arrived = arrivals();
        int permitted = request.route().repeatable() ? request.route().attemptLimit() : 1;
        if (arrived > permitted) {
            violations.add("sent to " + arrived + " endpoints, permitted " + permitted);
        }
        List<PausingEndpoint.Run> runs = arrivedRuns();
        for (int first = 0; first < runs.size(); first++) {
            for (int second = first + 1; second < runs.size(); second++) {
                checkOverlap(runs.get(first), runs.get(second));
            }
        }
    }

    private void checkOverlap(PausingEndpoint.Run first, PausingEndpoint.Run second) {
        long end = Math.min(first.finishedNanos(), second.finishedNanos());
        long overlap = end - Math.max(first.arrivedNanos(), second.arrivedNanos());
        if (overlap > MAX_OVERLAP.toNanos()) {
            violations.add("ran on " + first.endpoint().id() + " and "
                    + second.endpoint().id() + " at once for " + overlap / 1_000_000 + " ms");
        }
    }

    private List<PausingEndpoint.Run> arrivedRuns() {
        return legs.values().stream()
                .map(leg -> leg.run)
                .filter(PausingEndpoint.Run::hasArrived)
                .toList();
    }

    /** Checks that an answer isn't given up while an endpoint works on it and there is time. */
    private void checkLoss(String what) {
        if (time.nowNanos() >= deadlineNanos()) {
            return;
        }
        legs.values().stream()
                .filter(Leg::isLostNeedlessly)
                .forEach(leg ->
                        violations.add(what + " though " + leg.run.endpoint().id() + " works on it"));
    }

    private long deadlineNanos() {
        Duration timeout =
                Comparators.min(request.callerTimeout(), request.route().timeout());
        return begunNanos + timeout.toNanos();
    }

    private String expectedAnswer() {
        if (faultForwarded) {
            return PausingEndpoint.FAULT_BODY;
        }
        StringBuilder expected = new StringBuilder();
        for (int event = 0; event < events; event++) {
            expected.append(PausingEndpoint.event(event));
        }
        return expected.toString();
    }

    private void note(String line) {
        trace.add("+" + (time.nowNanos() - begunNanos) / 1_000_000 + " " + line);
    }

    // ---- The caller's patience

    private void waitForProgress() {
        if (!request.route().streamed()) {
            return;
        }
        int generation = ++patienceGeneration;
        Duration byTarget = request.route().target().multipliedBy(PATIENCE_TARGETS);
        Duration byGap = request.route().maxGap().multipliedBy(PATIENCE_GAPS);
        Duration patience = Comparators.max(MIN_PATIENCE, Comparators.max(byTarget, byGap));
        time.after(patience, () -> {
            if (generation == patienceGeneration && outcome == Outcome.OPEN) {
                note("caller leaves");
                outcome = Outcome.LEFT;
                machine.onCallerDisconnected();
            }
        });
    }

    // ---- Effects of the machine

    @Override
    public long nowNanos() {
        return time.nowNanos();
    }

    @Override
    public void requestPlacement(
            ImmutableSet<EndpointId> excluded,
            PlacementRequest.Kind kind,
            StreamContinuation continuation,
            Duration remaining) {
        note("place " + kind + (excluded.isEmpty() ? "" : " without " + excluded));
        node.offer(new PlacementRequest(
                request.id(),
                request.route(),
                request.service(),
                request.workspace(),
                request.prompt(),
                request.fingerprint(),
                excluded,
                kind,
                continuation,
                remaining.toMillis(),
                decision -> time.after(Duration.ZERO, () -> onDecision(decision))));
    }

    @Override
    public void requestReturn(ImmutableSet<EndpointId> permitted, StreamContinuation continuation, Duration remaining) {
        note("return to " + permitted);
        node.offer(new PlacementRequest(
                request.id(),
                request.route(),
                request.service(),
                request.workspace(),
                request.prompt(),
                request.fingerprint(),
                ImmutableSet.of(),
                permitted,
                PlacementRequest.Kind.REPEAT,
                continuation,
                remaining.toMillis(),
                decision -> time.after(Duration.ZERO, () -> onDecision(decision))));
    }

    private void onDecision(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Placed placed) {
            openTickets.merge(placed.ticket(), 1, Integer::sum);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            note("refused: " + refused.error().kind());
            refusedAsSuspect |= refused.error().kind() == ErrorKind.SUSPECT_REQUEST;
        }
        machine.onPlacementDecision(decision);
    }

    @Override
    public void send(
            long leg, PlacementDecision.Placed placed, Duration remaining, long afterEvent, boolean newConnection) {
        EndpointId id = placed.endpoint().id();
        note("send leg " + leg + " to " + id + " after " + afterEvent);
        Leg sent = new Leg(leg, placed);
        legs.put(leg, sent);
        PausingEndpoint endpoint = endpoints.get(id);
        sent.run = endpoint.send(afterEvent, events, reactions.getOrDefault(leg, endpoint.reaction()), sent);
        failure.ifPresent(sent.run::failWith);
        if (leg == 1) {
            silentBeforeEvent.ifPresent(sent.run::fallSilentBefore);
        }
    }

    @Override
    public void abandon(long leg) {
        Leg abandoned = legs.get(leg);
        if (abandoned != null && !abandoned.run.isAbandoned()) {
            note("abandon leg " + leg);
            abandoned.abandon();
        }
    }

    @Override
    public void pauseReading(long leg) {
        legs.get(leg).pause();
    }

    @Override
    public void resumeReading(long leg) {
        legs.get(leg).resume();
    }

    @Override
    public void schedule(ForwardMachine.TimerKind kind, long leg, Duration delay) {
        int generation = timerGenerations.merge(kind, 1, Integer::sum);
        time.after(Duration.ofMillis(Math.max(1, delay.toMillis())), () -> {
            if (outcome == Outcome.OPEN && timerGenerations.get(kind) == generation) {
                machine.onTimer(kind, leg);
            }
        });
    }

    @Override
    public void answerHead(long leg) {
        note("head of leg " + leg);
        if (legs.get(leg).run.isFault()) {
            faultForwarded = true;
            checkLoss("forwarded an error");
        }
    }

    @Override
    public void answerBytes(ByteBuffer bytes) {
        received.append(StandardCharsets.UTF_8.decode(bytes));
        waitForProgress();
        if (!expectedAnswer().startsWith(received.toString())) {
            violations.add("events out of order");
        }
    }

    @Override
    public void answerEnd() {
        note("end");
        end(faultForwarded ? Outcome.FAULT : Outcome.COMPLETE);
        if (!expectedAnswer().contentEquals(received)) {
            violations.add("ended as complete after " + received.length() + " characters of an answer of "
                    + expectedAnswer().length());
        }
    }

    @Override
    public void abortAnswer() {
        note("cut");
        end(Outcome.CUT);
        checkLoss("cut");
        if (faultForwarded) {
            violations.add("cut the error answer of an endpoint that sent all of it");
        }
    }

    @Override
    public void answerError(YuccagwException error) {
        note("error " + error.kind());
        end(Outcome.ERROR);
        checkLoss("answered " + error.kind());
        if (error.kind().ran() == ErrorKind.Ran.NOT_RUN && arrivals() > 0) {
            violations.add("refused as not run (" + error.kind() + ") after an endpoint had received it");
        }
    }

    private void end(Outcome reached) {
        if (outcome != Outcome.OPEN) {
            violations.add("ended twice: " + outcome + ", then " + reached);
        }
        outcome = reached;
    }

    @Override
    public void report(AttemptBegun begun) {
        node.offer(begun);
    }

    @Override
    public void report(StreamBegun begun) {
        node.offer(begun);
    }

    @Override
    public void report(AttemptEnded ended) {
        openTickets.merge(ended.ticket(), -1, Integer::sum);
        node.offer(ended);
    }

    @Override
    public void report(NoticeReceived notice) {
        node.offer(notice);
    }

    @Override
    public void reportSilence(SilenceOutcome outcome) {
        note("silence " + outcome);
    }

    @Override
    public void explain(String decision, String detail) {
        note(decision + " (" + detail + ")");
    }

    @Override
    public void ended(String detail) {
        note("ended: " + detail);
    }

    /** One send of the request. */
    private final class Leg implements PausingEndpoint.AnswerListener {
        private final long number;
        private final PlacementDecision.Placed placed;
        private final List<Runnable> unread = new ArrayList<>();
        private PausingEndpoint.Run run;
        private boolean reading = true;
        private boolean replaced;

        private Leg(long number, PlacementDecision.Placed placed) {
            this.number = number;
            this.placed = placed;
        }

        private void abandon() {
            replaced = legs.values().stream().anyMatch(other -> other != this && other.isActive());
            run.abandon();
        }

        private boolean isActive() {
            return run.isConnected() && !run.isFinished();
        }

        /**
         * Returns whether the answer of this leg is lost although its endpoint could complete it: it was neither given
         * up for another endpoint that worked on the request, nor did another one receive the request afterwards.
         */
        private boolean isLostNeedlessly() {
            boolean last = arrivedRuns().stream()
                    .noneMatch(other -> !other.isFault() && other.arrivedNanos() > run.arrivedNanos());
            boolean givenUp = run.isAbandoned() && !replaced && last;
            return run.couldAnswer() && (!run.isAbandoned() || givenUp);
        }

        private void pause() {
            reading = false;
        }

        private void resume() {
            reading = true;
            List<Runnable> waiting = List.copyOf(unread);
            unread.clear();
            waiting.forEach(each -> time.after(Duration.ZERO, () -> read(each)));
        }

        private void read(Runnable action) {
            if (run.isAbandoned()) {
                return;
            }
            if (reading) {
                action.run();
            } else {
                unread.add(action);
            }
        }

        @Override
        public void onConnected() {
            note("leg " + number + " arrived");
            machine.onDelivery(number);
        }

        @Override
        public void onUnreached() {
            machine.onFailure(number, AttemptEnded.End.UNREACHED, "no connection");
        }

        @Override
        public void onHead(int status, boolean notRun) {
            EndpointAnswerHead head = new EndpointAnswerHead(
                    status, true, true, notRun, false, false, placed.version(), EndpointNotice.NONE);
            note("leg " + number + " answers " + status + (notRun ? ", not run" : ""));
            machine.onHead(number, head);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            read(() -> machine.onBytes(number, bytes));
        }

        @Override
        public void onEnd(BodyEnd end) {
            read(() -> machine.onEnd(number, end));
        }

        @Override
        public void onBroken() {
            note("leg " + number + " broke");
            machine.onFailure(number, AttemptEnded.End.BROKEN, "the connection broke");
        }
    }
}
