package org.yuccagw.core.forward;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;

/**
 * The legs of a request that are in progress: the current one, whose answer is forwarded, and at most one replacement,
 * which exists only beside a current one. The end of each leg is reported exactly once.
 */
final class LegPair {
    private final ForwardEffects effects;
    private final AttemptHistory history;
    private final AnswerStatistics statistics;
    private Optional<Leg> current = Optional.empty();
    private Optional<Leg> replacement = Optional.empty();

    private LegPair(ForwardEffects effects, AttemptHistory history, AnswerStatistics statistics) {
        this.effects = effects;
        this.history = history;
        this.statistics = statistics;
    }

    static LegPair of(ForwardEffects effects, AttemptHistory history, AnswerStatistics statistics) {
        return new LegPair(effects, history, statistics);
    }

    Optional<Leg> current() {
        return current;
    }

    Optional<Leg> replacement() {
        return replacement;
    }

    /** Returns the legs that are in progress. */
    List<Leg> inProgress() {
        return Stream.concat(current.stream(), replacement.stream()).toList();
    }

    /** Returns the leg with the number if it is in progress. */
    Optional<Leg> find(long number) {
        return current(number).or(() -> replacement.filter(leg -> leg.number() == number));
    }

    /** Returns the current leg if it has the number. */
    Optional<Leg> current(long number) {
        return current.filter(leg -> leg.number() == number);
    }

    boolean isReplacement(long number) {
        return replacement.filter(leg -> leg.number() == number).isPresent();
    }

    /** Adds a leg: as the current one, or as the replacement of the current one. */
    void add(Leg leg) {
        if (current.isPresent()) {
            replacement = Optional.of(leg);
        } else {
            current = Optional.of(leg);
        }
    }

    /** Ends the current leg, whose place the replacement takes if there is one. */
    void endCurrent(End end) {
        Leg ended = current.orElseThrow();
        endCurrent(ended.ended(end));
        statistics.recordEnd(ended);
    }

    /** Ends the current leg without an answer, with the given report. */
    void endCurrent(AttemptEnded ended) {
        effects.report(ended);
        current = replacement;
        replacement = Optional.empty();
    }

    void endReplacement(AttemptEnded ended) {
        effects.report(ended);
        replacement = Optional.empty();
    }

    /** Abandons the replacement, if there is one, since the current leg goes on or the request has ended. */
    void abandonReplacement() {
        replacement.ifPresent(unused -> {
            if (unused.isDelivered()) {
                history.recordRun(unused);
            }
            effects.abandon(unused.number());
            endReplacement(unused.ended(End.LEFT));
        });
    }

    /** Abandons all legs, since the request has ended. */
    void abandonAll() {
        abandonReplacement();
        current.ifPresent(leg -> {
            effects.abandon(leg.number());
            endSilence(leg, SilenceOutcome.UNANSWERED);
            endCurrent(leg.isSilent() ? End.SILENT : End.LEFT);
        });
    }

    /** Reports what became of a leg if it was silent. */
    void endSilence(Leg leg, SilenceOutcome outcome) {
        if (leg.isSilent()) {
            effects.reportSilence(outcome);
        }
    }
}
