package org.yuccagw.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlContext.Timer;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.KeyValueRevision;

/**
 * Asks other entries what they know better than the key-value service.
 *
 * <p>A service that was restored holds older copies of keys until their writers write them again. Entries that ran
 * before retain the newer states; an entry that has just started, or that was cut off meanwhile, has only the copy.
 *
 * <p>A few entries are asked at a time, others in the next round, until {@link #SUFFICIENT_ANSWERS} have told what they
 * know. An entry that starts waits for them before it serves, unless all that it asks first are starting as well, and
 * no longer than {@link #MAX_START_DELAY}, since the others may have failed.
 */
final class StateInquiry {
    /** An answer takes some milliseconds, or a round more if the service was restored a moment ago. */
    static final Duration MAX_START_DELAY = Duration.ofMillis(250);

    /** By then, the entries that the service lists are known to this entry's other components. */
    private static final Duration FIRST_ROUND_DELAY = Duration.ofMillis(2);

    private static final Duration ROUND = Duration.ofMillis(60);

    /** By the end of this time, entries that can be reached have answered. */
    private static final Duration MAX_DURATION = Duration.ofSeconds(5);

    private static final int ASKED_PER_ROUND = 3;
    private static final int SUFFICIENT_ANSWERS = 2;

    private final Supplier<List<EntryId>> others;
    private final LongSupplier revision;
    private final Runnable onStarted;
    private final Set<EntryId> answered = new HashSet<>();
    /** Entries that were asked in the first round of the first inquiry and haven't answered at all. */
    private final Set<EntryId> askedFirst = new HashSet<>();

    private ControlContext context;
    private Optional<Timer> nextRound = Optional.empty();
    private boolean running;
    private boolean firstRoundAsked;
    private boolean started;
    private long beganNanos;

    private StateInquiry(Supplier<List<EntryId>> others, LongSupplier revision, Runnable onStarted) {
        this.others = others;
        this.revision = revision;
        this.onStarted = onStarted;
    }

    /**
     * Creates an inquiry that hasn't begun.
     *
     * @param others returns the other entries that are known
     * @param revision returns the revision that this entry's copy includes
     * @param onStarted called once, when the first inquiry was answered or has taken too long
     */
    static StateInquiry of(Supplier<List<EntryId>> others, LongSupplier revision, Runnable onStarted) {
        return new StateInquiry(others, revision, onStarted);
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /** Returns whether the first inquiry is over, so that this entry's copy may be relied on. */
    boolean isStarted() {
        return started;
    }

    /** Begins an inquiry, or begins again the one that is running. */
    void begin() {
        answered.clear();
        beganNanos = context.nowNanos();
        if (!started) {
            context.after(MAX_START_DELAY, () -> finishStart("timeout"));
        }
        running = true;
        scheduleRound(FIRST_ROUND_DELAY);
    }

    /** Records that an entry has sent what it knows, as of the era of this entry's copy. */
    void recordAnswer(EntryId from) {
        if (running) {
            answered.add(from);
            endIfAnswered();
        }
    }

    /** Records that an entry is starting as well. */
    void recordStarting(EntryId from) {
        if (askedFirst.remove(from) && askedFirst.isEmpty()) {
            finishStart("others starting");
        }
    }

    /** Asks an entry that has just been sent the state of the present era, and can tell now what it knows better. */
    void askAgain(EntryId entry) {
        if (running) {
            ask(entry);
        }
    }

    private void ask(EntryId entry) {
        context.send(entry, new FollowMessage.ChangesRequest(revision.getAsLong()));
    }

    private void askRound() {
        endIfAnswered();
        if (context.nowNanos() - beganNanos >= MAX_DURATION.toNanos()) {
            running = false;
        }
        if (!running) {
            return;
        }
        List<EntryId> unanswered = new ArrayList<>(others.get());
        unanswered.removeAll(answered);
        for (int asked = 0; asked < ASKED_PER_ROUND && !unanswered.isEmpty(); asked++) {
            EntryId entry = unanswered.remove(context.random().nextInt(unanswered.size()));
            ask(entry);
            if (!started && !firstRoundAsked) {
                askedFirst.add(entry);
            }
        }
        firstRoundAsked = true;
        scheduleRound(ROUND);
    }

    private void scheduleRound(Duration delay) {
        nextRound.ifPresent(Timer::cancel);
        nextRound = Optional.of(context.after(delay, this::askRound));
    }

    private void endIfAnswered() {
        int sufficient = Math.min(SUFFICIENT_ANSWERS, others.get().size());
        if (answered.size() >= sufficient) {
            running = false;
            finishStart("answered");
        }
    }

    private void finishStart(String reason) {
        if (started) {
            return;
        }
        started = true;
        context.perform(Decision.of("state-received")
                .with("reason", reason)
                .with("answers", answered.size())
                .with("era", KeyValueRevision.era(revision.getAsLong()))
                .with("revision", KeyValueRevision.number(revision.getAsLong())));
        onStarted.run();
    }
}
