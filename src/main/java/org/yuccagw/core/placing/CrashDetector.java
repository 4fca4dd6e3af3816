package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.placing.AttemptEnded.Success;
import org.yuccagw.core.suspect.EndpointCrashed;
import org.yuccagw.core.suspect.LostAttempt;
import org.yuccagw.core.suspect.SuspectMessage;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.core.suspect.SuspectPartsComponent;

/**
 * Tells crashes of endpoints from broken connections, and reports what was lost with each crash.
 *
 * <p>A connection also breaks when the network fails or an answer is faulty. So the loss of a prompt is held until more
 * is known of its endpoint:
 *
 * <ol>
 *   <li>No connection to it can be established, its registration ends, or it registers again after a start: it has
 *       crashed.
 *   <li>It answers a request that was sent later: it runs, and the loss is dropped.
 *   <li>Neither for {@link #MAX_DETECTION_TIME}: the loss is dropped.
 * </ol>
 *
 * <p>An answer whose end only its connection showed is held in the same way, and counts as one unless its endpoint has
 * crashed. An endpoint that leaves may break its connections, so nothing is held against it. Neither is a crash held
 * against a prompt whose answer had arrived in part for {@link #MIN_ANSWER_TIME}.
 */
final class CrashDetector {
    /** Longer than the registration of an endpoint outlives it. */
    private static final Duration MAX_DETECTION_TIME = Duration.ofSeconds(6);

    /** An endpoint that has crashed is mostly called again within this time. */
    private static final Duration UNPROVEN_ANSWER_DELAY = Duration.ofSeconds(2);

    private static final Duration MIN_ANSWER_TIME = Duration.ofMillis(500);
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    private final SuspectPartsComponent suspects;
    private final Map<EndpointIncarnation, List<Loss>> losses = new HashMap<>();

    /** When other entries reported that a connection to an endpoint broke. */
    private final Map<EndpointIncarnation, Long> brokenNanos = new HashMap<>();

    private final Map<EndpointIncarnation, Long> crashedNanos = new HashMap<>();
    private ControlContext context;
    private boolean sweepScheduled;

    /** A prompt whose attempt ended without proof that it was answered, by the monotonic clock. */
    private record Loss(ImmutableSet<SuspectPart> parts, long sentNanos, long endedNanos, boolean looksAnswered) {
        LostAttempt at(long nowNanos) {
            return new LostAttempt(
                    parts, Duration.ofNanos(nowNanos - sentNanos), Duration.ofNanos(nowNanos - endedNanos));
        }
    }

    private CrashDetector(SuspectPartsComponent suspects) {
        this.suspects = suspects;
    }

    /**
     * Creates the detector of one entry.
     *
     * @param suspects learns which prompts were answered
     */
    static CrashDetector of(SuspectPartsComponent suspects) {
        return new CrashDetector(suspects);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    void handle(ControlEvent event) {
        if (event instanceof PeerReceived received && received.message() instanceof BreakReported reported) {
            brokenNanos.put(reported.endpoint(), context.nowNanos());
            scheduleSweep();
        } else if (event instanceof PeerReceived received
                && received.message() instanceof SuspectMessage.CrashReported reported) {
            recordCrash(reported.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject
                && !removed.afterOutage()) {
            startsOf(subject.endpoint()).forEach(this::recordCrash);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            EndpointIncarnation latest = listed.endpoint().incarnation();
            startsOf(latest.endpoint()).stream()
                    .filter(start -> start.isBefore(latest))
                    .forEach(this::recordCrash);
        }
    }

    private Set<EndpointIncarnation> startsOf(EndpointId endpoint) {
        Set<EndpointIncarnation> starts = new HashSet<>(losses.keySet());
        starts.addAll(brokenNanos.keySet());
        starts.removeIf(start -> !start.endpoint().equals(endpoint));
        return starts;
    }

    /** Records what the end of an attempt shows of its endpoint. */
    void record(AttemptEnded ended, Attempt attempt) {
        EndpointIncarnation endpoint = attempt.endpoint.listed().incarnation();
        switch (ended.end()) {
            case UNREACHED, UNREACHED_BY_ONE -> recordCrash(endpoint);
            case ANSWERED, FAULT, SHED -> recordRunning(endpoint, attempt.sentNanos);
            case BROKEN, SILENT -> recordLoss(ended, attempt, false);
            default -> {}
        }
        if (ended.success() == Success.PROVEN) {
            suspects.recordAnswer(() -> partsOf(attempt));
        } else if (ended.success() == Success.UNPROVEN) {
            recordLoss(ended, attempt, true);
        }
    }

    private static ImmutableSet<SuspectPart> partsOf(Attempt attempt) {
        return attempt.request.prompt().map(SuspectPart::sharedPartsOf).orElse(ImmutableSet.of());
    }

    private void recordLoss(AttemptEnded ended, Attempt attempt, boolean looksAnswered) {
        long now = context.nowNanos();
        ImmutableSet<SuspectPart> parts = partsOf(attempt);
        boolean mayCrash = attempt.endpoint.isUsable(now) && (looksAnswered || !wasBeingAnswered(ended, attempt));
        EndpointIncarnation endpoint = attempt.endpoint.listed().incarnation();
        if (parts.isEmpty() || (!mayCrash && !crashedNanos.containsKey(endpoint))) {
            return;
        }
        losses.computeIfAbsent(endpoint, start -> new ArrayList<>())
                .add(new Loss(parts, attempt.sentNanos, now, looksAnswered));
        scheduleSweep();
        if (crashedNanos.containsKey(endpoint)) {
            recordCrash(endpoint);
        }
    }

    private boolean wasBeingAnswered(AttemptEnded ended, Attempt attempt) {
        return ended.pace()
                .map(pace -> attempt.sentNanos + pace.firstEventMillis() * 1_000_000L)
                .filter(firstEventNanos -> context.nowNanos() - firstEventNanos > MIN_ANSWER_TIME.toNanos())
                .isPresent();
    }

    private void recordRunning(EndpointIncarnation endpoint, long sentNanos) {
        List<Loss> held = losses.get(endpoint);
        if (held == null) {
            return;
        }
        List<Loss> earlier =
                held.stream().filter(loss -> sentNanos - loss.endedNanos() > 0).toList();
        held.removeAll(earlier);
        earlier.stream().filter(Loss::looksAnswered).forEach(loss -> suspects.recordAnswer(loss::parts));
        if (held.isEmpty()) {
            losses.remove(endpoint);
        }
    }

    /** Records that an endpoint doesn't run any more, and reports its crash if one of its connections had broken. */
    private void recordCrash(EndpointIncarnation endpoint) {
        boolean hadBroken = brokenNanos.remove(endpoint) != null;
        List<Loss> held = losses.remove(endpoint);
        boolean isNew = !crashedNanos.containsKey(endpoint);
        if (held == null && !(hadBroken && isNew)) {
            return;
        }
        crashedNanos.put(endpoint, context.nowNanos());
        ImmutableList<LostAttempt> attempts = held == null
                ? ImmutableList.of()
                : held.stream().map(loss -> loss.at(context.nowNanos())).collect(ImmutableList.toImmutableList());
        context.perform(Decision.of("endpoint-crashed")
                .with("endpoint", endpoint)
                .with("lost", attempts.stream().map(LostAttempt::parts).toList()));
        context.raise(new EndpointCrashed(endpoint, attempts));
        scheduleSweep();
    }

    private void scheduleSweep() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            context.after(SWEEP_INTERVAL, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        long now = context.nowNanos();
        for (List<Loss> held : losses.values()) {
            held.stream().filter(loss -> isAnswerOld(loss, now)).forEach(loss -> suspects.recordAnswer(loss::parts));
            held.removeIf(loss -> isAnswerOld(loss, now) || now - loss.endedNanos() > MAX_DETECTION_TIME.toNanos());
        }
        losses.values().removeIf(List::isEmpty);
        brokenNanos.values().removeIf(since -> now - since > MAX_DETECTION_TIME.toNanos());
        crashedNanos.values().removeIf(since -> now - since > MAX_DETECTION_TIME.toNanos());
        if (!losses.isEmpty() || !brokenNanos.isEmpty() || !crashedNanos.isEmpty()) {
            scheduleSweep();
        }
    }

    private static boolean isAnswerOld(Loss loss, long nowNanos) {
        return loss.looksAnswered() && nowNanos - loss.endedNanos() > UNPROVEN_ANSWER_DELAY.toNanos();
    }
}
