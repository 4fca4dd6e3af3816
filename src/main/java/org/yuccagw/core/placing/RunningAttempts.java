package org.yuccagw.core.placing;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.control.ControlContext;

/**
 * The attempts that were placed here and haven't ended, by ticket, and the work that each counts on its endpoint.
 *
 * <p>Invariant: every ticket is ended exactly once, and the work that it counted is subtracted then.
 */
final class RunningAttempts {
    /** The prefill of more tokens than this delays other prompts by 30 ms or more. */
    private static final int LONG_PREFILL_TOKENS = 1_500;

    /** With twelve entries and eight long prompts per second at each, an entry sends 200 short messages per second. */
    private static final int MAX_ENTRIES_FOR_LOAD_UPDATES = 12;

    private final StreamPacing pacing;
    private final AttemptOutcomes outcomes;
    private final PlacementComponent.Fleet fleet;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private ControlContext context;
    private long nextTicket = 1;

    private RunningAttempts(StreamPacing pacing, AttemptOutcomes outcomes, PlacementComponent.Fleet fleet) {
        this.pacing = pacing;
        this.outcomes = outcomes;
        this.fleet = fleet;
    }

    /**
     * Creates an empty set of attempts.
     *
     * @param pacing learns the speed of engines and the pauses of streams from attempts
     * @param outcomes learns from the ends of attempts
     * @param fleet receives load changes by long prompts
     */
    static RunningAttempts of(StreamPacing pacing, AttemptOutcomes outcomes, PlacementComponent.Fleet fleet) {
        return new RunningAttempts(pacing, outcomes, fleet);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
    }

    /** Adds an attempt that is sent now to the selected endpoint. Returns its ticket. */
    long add(PlacementRequest request, EndpointSelector.Selection selection) {
        EndpointState endpoint = selection.endpoint();
        long tokens = request.prompt().map(shape -> (long) shape.totalTokens()).orElse(0L);
        Work work = Work.ofOne(
                tokens, selection.plan().map(PrefillPlan::prefillTokens).orElse(0));
        boolean engineWasIdle = endpoint.totalWork().unreadTokens() == 0;
        endpoint.addWork(work);
        endpoint.recordSent(context.nowNanos());
        reportLongPrefill(endpoint, work);
        Attempt attempt = new Attempt(selection, request, work, engineWasIdle, context.nowNanos());
        long ticket = nextTicket++;
        attempts.put(ticket, attempt);
        pacing.recordPlaced(ticket, attempt);
        return ticket;
    }

    /** Returns the work that a ticket counts at present; {@link Work#NONE} if it has ended. */
    Work workOf(long ticket) {
        Attempt attempt = attempts.get(ticket);
        return attempt == null ? Work.NONE : attempt.work;
    }

    /** Records that a prompt's answer has started. Returns false if nothing changed by it. */
    boolean begin(AttemptBegun begun) {
        Attempt attempt = attempts.get(begun.ticket());
        if (attempt == null || attempt.plan.isEmpty()) {
            return false;
        }
        pacing.learnPrefill(attempt, context.nowNanos());
        Work previous = attempt.work;
        attempt.endpoint.removeWork(previous);
        attempt.work = previous.withoutUnreadTokens();
        attempt.endpoint.addWork(attempt.work);
        pacing.recordBegun(attempt.endpoint, context.nowNanos());
        outcomes.recordBegun(attempt);
        reportLongPrefill(attempt.endpoint, previous);
        return true;
    }

    /** Ends an attempt and subtracts its work. Returns false if it has ended before. */
    boolean end(AttemptEnded ended) {
        Attempt attempt = attempts.remove(ended.ticket());
        if (attempt == null) {
            return false;
        }
        attempt.endpoint.removeWork(attempt.work);
        pacing.recordEnded(ended, attempt).ifPresent(context::perform);
        reportLongPrefill(attempt.endpoint, attempt.work);
        outcomes.record(ended, attempt);
        return true;
    }

    /**
     * Reports a load change by a long prompt to the other entries at once.
     *
     * <p>Guards against entries that place prompts behind a long one that they learn of only with the next heartbeat: a
     * tenth of the short prompts waited for 350 ms or more on engines that appeared to have nothing to prefill. In a
     * larger mesh the messages would cost more than they gain. Where leads place requests, only the lead of the
     * endpoint's failure domain is notified.
     */
    private void reportLongPrefill(EndpointState endpoint, Work changed) {
        if (changed.unreadTokens() >= LONG_PREFILL_TOKENS
                && fleet.placingEntryCount() <= MAX_ENTRIES_FOR_LOAD_UPDATES) {
            fleet.sendToPlacersFor(endpoint.listed().domain(), new LoadUpdate(endpoint.load(context.nowNanos())));
        }
    }
}
