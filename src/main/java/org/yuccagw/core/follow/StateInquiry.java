package org.yuccagw.core.follow;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
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
 * <p>Some entries are asked at a time, others in the next round. Each answer states what it covers (see {@link
 * CopyCoverage}). An entry that starts doesn't serve until the first of:
 *
 * <ol>
 *   <li>All other entries have answered, or said that they are starting as well.
 *   <li>All that were asked first have responded, and none covers the time before the last restoration: the fleet has
 *       started as a whole, or no entry is left that knows it.
 *   <li>{@link #SUFFICIENT_ANSWERS} answers cover the time before the last restoration, none of those received covers
 *       more of it, and those asked with them had a round's time to answer.
 *   <li>Some have answered, and {@link #ANSWER_WAIT} has passed, in which every entry that can be reached answers.
 *   <li>None has answered, some are starting as well, and {@link #STARTING_WAIT} has passed.
 *   <li>None has responded within {@link #MAX_START_DELAY}: the others may have failed.
 * </ol>
 *
 * <p>While it serves, it goes on asking entries that haven't answered or have become known since, until case 3 applies,
 * as many have answered as are asked at a time, or {@link #MAX_DURATION} has passed.
 */
final class StateInquiry {
    /** Longer than it takes to open a connection to an entry that runs. */
    private static final Duration MAX_START_DELAY = Duration.ofMillis(1500);

    /** An entry that runs answers within some milliseconds, or some tens on a busy VM. */
    private static final Duration ANSWER_WAIT = Duration.ofMillis(300);

    /** Twice as long, since no entry has yet said anything that can be relied on. */
    private static final Duration STARTING_WAIT = ANSWER_WAIT.multipliedBy(2);

    /** How long an entry that knows of no other one waits for some to become known. */
    private static final Duration LONE_START_DELAY = Duration.ofMillis(250);

    /** The same if its settings name addresses at which it has heard nobody yet; two heartbeats and some delay. */
    private static final Duration SEEDED_START_DELAY = Duration.ofMillis(700);

    /** By then, the entries that the service lists are known to this entry's other components. */
    private static final Duration FIRST_ROUND_DELAY = Duration.ofMillis(2);

    private static final Duration ROUND = Duration.ofMillis(60);

    /** Interval of the later rounds of an entry that already serves. */
    private static final Duration LATE_ROUND = Duration.ofMillis(500);

    /** By the end of this time, entries that can be reached have answered. */
    private static final Duration MAX_DURATION = Duration.ofSeconds(5);

    private static final int ASKED_PER_ROUND = 10;
    private static final int SUFFICIENT_ANSWERS = 2;

    private final OtherEntries others;
    private final LongSupplier revision;
    private final Consumer<Boolean> onStarted;
    private final InquiryResponses responses = new InquiryResponses();

    private ControlContext context;
    private Optional<Timer> nextRound = Optional.empty();
    private boolean running;
    private boolean started;
    private long beganNanos;
    private long lastRoundNanos;

    private StateInquiry(OtherEntries others, LongSupplier revision, Consumer<Boolean> onStarted) {
        this.others = others;
        this.revision = revision;
        this.onStarted = onStarted;
    }

    /**
     * Creates an inquiry that hasn't begun.
     *
     * @param others the entries that may be asked
     * @param revision returns the revision that this entry's copy includes
     * @param onStarted called once, when the first inquiry was answered or has taken too long, with whether all have
     *     responded
     */
    static StateInquiry of(OtherEntries others, LongSupplier revision, Consumer<Boolean> onStarted) {
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
        responses.clear();
        beganNanos = context.nowNanos();
        running = true;
        scheduleRound(FIRST_ROUND_DELAY);
    }

    /**
     * Records that an entry has sent what it knows, as of the era of this entry's copy.
     *
     * @param coverage what the answer covers
     */
    void recordAnswer(EntryId from, CopyCoverage coverage) {
        responses.recordAnswer(from, coverage);
        evaluate();
    }

    /** Records that an entry is starting as well. */
    void recordStarting(EntryId from) {
        responses.recordStarting(from);
        evaluate();
    }

    /** Asks an entry that has just been sent the state of the present era, and can tell now what it knows better. */
    void askAgain(EntryId entry) {
        if (running) {
            ask(entry);
        }
    }

    private void ask(EntryId entry) {
        responses.recordAsked(entry);
        context.send(entry, new FollowMessage.ChangesRequest(revision.getAsLong()));
    }

    private void askRound() {
        evaluate();
        if (elapsed(beganNanos).compareTo(MAX_DURATION) >= 0) {
            running = false;
        }
        if (!running) {
            return;
        }
        lastRoundNanos = context.nowNanos();
        List<EntryId> unanswered = responses.toAsk(others.known());
        for (int count = 0; count < ASKED_PER_ROUND && !unanswered.isEmpty(); count++) {
            EntryId entry = unanswered.remove(context.random().nextInt(unanswered.size()));
            if (!started) {
                others.introduceTo(entry);
            }
            ask(entry);
        }
        responses.endFirstRound();
        boolean late = started && elapsed(beganNanos).compareTo(ANSWER_WAIT) >= 0;
        scheduleRound(late ? LATE_ROUND : ROUND);
    }

    private void scheduleRound(Duration delay) {
        nextRound.ifPresent(Timer::cancel);
        nextRound = Optional.of(context.after(delay, this::askRound));
    }

    private void evaluate() {
        if (!running) {
            return;
        }
        if (!started) {
            startReason().ifPresent(this::finishStart);
        }
        if (started && (isCovered() || responses.answerCount() >= ASKED_PER_ROUND)) {
            running = false;
        }
    }

    /** Returns why this entry may serve now; empty if it may not. */
    private Optional<String> startReason() {
        Duration asking = elapsed(beganNanos);
        if (responses.includeAll(others.known())) {
            return Optional.of(responses.includeAnswer() ? "answered" : "others starting");
        } else if (responses.includeFirstRound() && coveringAnswers() == 0) {
            return Optional.of(responses.includeAnswer() ? "nothing before" : "others starting");
        } else if (isCovered()) {
            return Optional.of("answered");
        } else if (responses.includeAnswer() && asking.compareTo(ANSWER_WAIT) >= 0) {
            return Optional.of("answered by some");
        } else if (responses.includeStartingEntry() && asking.compareTo(STARTING_WAIT) >= 0) {
            return Optional.of("others starting");
        } else if (others.known().isEmpty() && asking.compareTo(loneDelay()) >= 0) {
            return Optional.of("no others");
        }
        return asking.compareTo(MAX_START_DELAY) >= 0 ? Optional.of("timeout") : Optional.empty();
    }

    private boolean isCovered() {
        return coveringAnswers() >= SUFFICIENT_ANSWERS && isRoundOver();
    }

    private Duration loneDelay() {
        return others.hasUnheardSeeds() ? SEEDED_START_DELAY : LONE_START_DELAY;
    }

    /** Returns whether all that were asked in this round have responded or had the time for it. */
    private boolean isRoundOver() {
        return responses.includeAllAsked() || elapsed(lastRoundNanos).compareTo(ROUND) >= 0;
    }

    private long coveringAnswers() {
        return responses.coveringAnswers(revision.getAsLong());
    }

    private Duration elapsed(long sinceNanos) {
        return Duration.ofNanos(context.nowNanos() - sinceNanos);
    }

    private void finishStart(String reason) {
        started = true;
        context.perform(Decision.of("state-received")
                .with("reason", reason)
                .with("answers", responses.answerCount())
                .with("covering", coveringAnswers())
                .with("era", KeyValueRevision.era(revision.getAsLong()))
                .with("revision", KeyValueRevision.number(revision.getAsLong())));
        onStarted.accept(responses.includeAll(others.known()));
    }
}
