package org.yuccagw.core.placing;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Supplier;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeersComponent;

/**
 * Delegates the placement of this entry's requests to the lead of its failure domain in a large fleet.
 *
 * <p>If each of 95 entries places requests alone, knowing only the last heartbeats of the others, which are up to a
 * second old, a fifth of the long prompts miss their target at a load at which 18 entries miss one in a hundred. A lead
 * that decides every placement and is notified of the start and end of each answer knows the queue of each engine of
 * its domain. This takes four short messages per request, whereas notifying every entry of the domain takes fifty.
 *
 * <p>The cases:
 *
 * <ol>
 *   <li>In a mesh, and at the first lead itself, everything is decided locally, and so is everywhere a request that may
 *       run on certain endpoints only. The exception: if only other entries of
 *       the mesh may send to the endpoints, since all of these have rate limits, one of those entries is queried like a
 *       lead.
 *   <li>A lead that doesn't answer within {@link #LEAD_TIMEOUT} is passed over: it isn't queried for {@link
 *       #LEAD_SUSPENSION}, and this entry decides too, by the last heartbeats. Silence doesn't mean that the lead has
 *       failed, so the request keeps its place there. The first placement is used and another one is returned.
 *   <li>While the lead may still place the request, a refusal by this entry is held for {@link #MAX_REFUSAL_HOLD}, or
 *       as long as in case 4 if the lead reports meanwhile that it has queued the request. A request that no endpoint
 *       can serve is refused at once.
 *   <li>A lead that queues a request reports so and then has until {@link #SHARE_OF_TIME_LEFT} of the request's
 *       remaining time has passed. Then it is passed over.
 *   <li>When a lead fails, requests that wait there are decided by this entry, and refusals are held for it no longer.
 *       Attempts that run on its decisions count as work of this entry from then on, so that the next heartbeat reports
 *       them to the next lead. So do those that the lead has dropped, because it hasn't heard this entry for too long.
 *   <li>If the lead selects an endpoint that this entry knows to be leaving, to run another software version than the
 *       request requires, or weights on which it may not begin any more, the placement is returned and the request is
 *       decided locally, because what an entry knows itself takes precedence. The lead has already counted the request
 *       for the retry budget.
 * </ol>
 *
 * <p>Invariants: a caller is sent one decision. Every placement by a lead is returned exactly once, or ends with this
 * process or with the lead.
 */
public final class PlacementClient implements ControlComponent {
    /**
     * Within a failure domain an answer takes 1 to 3 ms. A lead on a shared processor that has used up its time slice
     * pauses for some tens of milliseconds; a request with a target of 200 ms tolerates that once.
     */
    static final Duration LEAD_TIMEOUT = Duration.ofMillis(30);

    /**
     * About two heartbeats. An entry that only stalled for a moment is queried again; one that failed is known to have
     * failed soon after.
     */
    static final Duration LEAD_SUSPENSION = Duration.ofMillis(600);

    private static final double SHARE_OF_TIME_LEFT = 0.6;

    /** An entry sends far fewer, so the numbers of its incarnations, which are milliseconds, don't overlap. */
    private static final long MAX_REQUESTS_PER_MILLISECOND = 1_000;

    /**
     * Longest time that a refusal waits for a lead that was passed over. A refused caller loses about as much by its
     * round trip and a new connection, so a lead that really has failed costs it no more than a refusal does.
     */
    static final Duration MAX_REFUSAL_HOLD = Duration.ofMillis(250);

    /** Limits the same time for requests with little time left. */
    private static final double REFUSAL_HOLD_SHARE_OF_TIME_LEFT = 0.12;

    /** Refusals of requests that no endpoint can serve, whoever decides. */
    private static final ImmutableSet<ErrorKind> FINAL_REFUSALS =
            ImmutableSet.of(ErrorKind.NO_ENDPOINT, ErrorKind.SOFTWARE_GONE, ErrorKind.SUSPECT_REQUEST);

    /**
     * Leads don't share which endpoints a single entry couldn't reach, so that entry excludes the endpoint for this
     * time.
     */
    private static final Duration UNREACHED_EXCLUSION = Duration.ofMillis(800);

    private final Function<PlacementRequest, List<EntryId>> placers;
    private final Function<EndpointIncarnation, Optional<ListedEndpoint>> usable;
    private final Supplier<List<EndpointId>> excluded;
    private final WeightLimits weightLimits;
    private final NoticesComponent notices;
    private final SuspectPartCheck suspectParts;
    private final Map<Long, DelegatedRequest> pending = new HashMap<>();
    private final RemoteAttempts remoteAttempts = RemoteAttempts.create();
    private final Map<EntryId, Long> suspendedUntilNanos = new HashMap<>();
    private final Map<EndpointId, Long> unreachedUntilNanos = new HashMap<>();
    private ControlContext context;
    private long nextNumber;

    private PlacementClient(
            Function<PlacementRequest, List<EntryId>> placers,
            Function<EndpointIncarnation, Optional<ListedEndpoint>> usable,
            Supplier<List<EndpointId>> excluded,
            NamedWeightsComponent weights,
            NoticesComponent notices,
            SuspectPartCheck suspectParts) {
        this.placers = placers;
        this.usable = usable;
        this.excluded = excluded;
        this.weightLimits = WeightLimits.of(weights);
        this.notices = notices;
        this.suspectParts = suspectParts;
    }

    /**
     * Creates the client of one entry.
     *
     * @param placers returns the entries that place a request of this entry, in order of preference; empty if this
     *     entry decides itself
     * @param usable returns the endpoint if this entry knows no reason against using it
     * @param excluded returns the endpoints to which this entry sends nothing, whatever other entries know of them
     * @param weights the named weight versions
     * @param notices records the requests that this entry sends
     * @param suspectParts refuses prompts that this entry knows to crash endpoints, whatever the lead knows
     */
    public static PlacementClient of(
            Function<PlacementRequest, List<EntryId>> placers,
            Function<EndpointIncarnation, Optional<ListedEndpoint>> usable,
            Supplier<List<EndpointId>> excluded,
            NamedWeightsComponent weights,
            NoticesComponent notices,
            SuspectPartCheck suspectParts) {
        return new PlacementClient(placers, usable, excluded, weights, notices, suspectParts);
    }

    @Override
    public void start(ControlContext controlContext) {
        context = controlContext;
        remoteAttempts.start(controlContext);
        nextNumber = context.self().incarnation() * MAX_REQUESTS_PER_MILLISECOND;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PlacementRequest request && !request.continuation().isUnresolved()) {
            onRequested(request);
        } else if (event instanceof PeerReceived received && received.message() instanceof PlacementMessage message) {
            receive(received.from(), message);
        } else if (event instanceof RivalDecision.Decided decided) {
            onDecidedLocally(decided);
        } else if (event instanceof AttemptBegun begun) {
            remoteAttempts.begin(begun);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended);
        } else if (event instanceof PeersComponent.PeerLost lost) {
            onPeerLost(lost.entry());
        }
    }

    // Requests to leads

    private void onRequested(PlacementRequest request) {
        Optional<YuccagwException> suspect = suspectParts.refusalOf(request);
        if (suspect.isPresent()) {
            refuseSuspect(request, suspect.get());
            return;
        }
        Optional<EntryId> lead = request.permitted().isEmpty() ? availableLead(request) : Optional.empty();
        if (lead.isEmpty()) {
            context.raise(new LocalPlacementRequested(request));
            return;
        }
        long number = nextNumber++;
        DelegatedRequest delegated = new DelegatedRequest(request, lead.get(), context.nowNanos());
        pending.put(number, delegated);
        context.send(lead.get(), messageOf(number, request));
        delegated.setTimer(context.after(LEAD_TIMEOUT, () -> passOver(delegated, number, "silent")));
    }

    private void refuseSuspect(PlacementRequest request, YuccagwException error) {
        context.perform(PlacementLog.refused(request, "suspect part", error));
        context.reply(() -> request.reply().accept(new PlacementDecision.Refused(error)));
    }

    /** Returns the first lead that may be queried; empty if this entry precedes it or there is none. */
    private Optional<EntryId> availableLead(PlacementRequest request) {
        for (EntryId lead : placers.apply(request)) {
            if (lead.equals(context.self().entry())) {
                return Optional.empty();
            }
            Long until = suspendedUntilNanos.get(lead);
            if (until == null || context.nowNanos() - until >= 0) {
                return Optional.of(lead);
            }
        }
        return Optional.empty();
    }

    private PlacementMessage.Ask messageOf(long number, PlacementRequest request) {
        return new PlacementMessage.Ask(
                number,
                request.request(),
                request.route().name(),
                request.service(),
                request.workspace().map(workspace -> workspace.id()),
                request.prompt(),
                request.fingerprint(),
                allExcluded(request),
                request.kind(),
                request.continuation().weights(),
                request.continuation().software(),
                request.leftMillis());
    }

    private ImmutableSet<EndpointId> allExcluded(PlacementRequest request) {
        unreachedUntilNanos.values().removeIf(until -> context.nowNanos() - until >= 0);
        return ImmutableSet.<EndpointId>builder()
                .addAll(request.excluded())
                .addAll(unreachedUntilNanos.keySet())
                .addAll(excluded.get())
                .build();
    }

    /**
     * Lets this entry decide too, while the request keeps its place at the lead. A first attempt raises the retry
     * budget of the lead and must not raise that of this entry as well; a retry takes from the budget of each.
     */
    private void passOver(DelegatedRequest delegated, long number, String reason) {
        long now = context.nowNanos();
        suspendedUntilNanos.put(delegated.lead(), now + LEAD_SUSPENSION.toNanos());
        PlacementRequest remaining = delegated.request().afterWaiting(delegated.waitedMillis(now));
        delegated.cancelTimer();
        delegated.passOver(now + maxRefusalHold(remaining).toNanos());
        logPassedOver(delegated, reason);
        boolean counted = remaining.kind() == PlacementRequest.Kind.FIRST;
        context.raise(new RivalDecision.Requested(number, counted ? remaining.countedElsewhere() : remaining));
    }

    private static Duration maxRefusalHold(PlacementRequest request) {
        Duration share = Duration.ofMillis((long) (request.leftMillis() * REFUSAL_HOLD_SHARE_OF_TIME_LEFT));
        return Comparators.min(MAX_REFUSAL_HOLD, share);
    }

    /** Decides a request that the lead won't decide any more. */
    private void decideLocally(DelegatedRequest delegated, PlacementRequest request, String reason) {
        logPassedOver(delegated, reason);
        long waitedMillis = delegated.waitedMillis(context.nowNanos());
        context.raise(new LocalPlacementRequested(request.afterWaiting(waitedMillis)));
    }

    private void logPassedOver(DelegatedRequest delegated, String reason) {
        context.perform(logLine("lead-passed-over", delegated).with("reason", reason));
    }

    private Decision logLine(String event, DelegatedRequest delegated) {
        return Decision.of(event)
                .with("request", delegated.request().request())
                .with("lead", delegated.lead())
                .with("waited_ms", delegated.waitedMillis(context.nowNanos()));
    }

    // Decisions of this entry about requests that are also at a lead

    private void onDecidedLocally(RivalDecision.Decided decided) {
        long number = decided.number();
        Optional<DelegatedRequest> delegated = Optional.ofNullable(pending.get(number));
        if (decided.decision() instanceof PlacementDecision.Placed placed) {
            if (delegated.isEmpty()) {
                context.raise(new AttemptEnded(placed.ticket(), AttemptEnded.End.LEFT));
                return;
            }
            removePending(number);
            notices.recordRequest(placed.endpoint().incarnation());
            reply(delegated.get(), placed);
        } else if (decided.decision() instanceof PlacementDecision.Refused refused) {
            delegated.ifPresent(known -> onRefusedLocally(known, number, refused));
        }
    }

    private void onRefusedLocally(DelegatedRequest delegated, long number, PlacementDecision.Refused refused) {
        if (FINAL_REFUSALS.contains(refused.error().kind())) {
            removePending(number);
            reply(delegated, refused);
            return;
        }
        delegated.holdLocalRefusal(refused.error(), context.nowNanos());
        refuseOrHold(delegated, number);
    }

    /** Sends the refusal if both have decided or the lead's time is over; otherwise waits for the rest of that time. */
    private void refuseOrHold(DelegatedRequest delegated, long number) {
        Optional<YuccagwException> refusal = delegated.decidedRefusal(context.nowNanos());
        if (refusal.isEmpty()) {
            return;
        }
        Duration hold = delegated.remainingHold(context.nowNanos());
        if (hold.isZero()) {
            removePending(number);
            reply(delegated, new PlacementDecision.Refused(refusal.get()));
            return;
        }
        context.perform(logLine("refusal-held", delegated)
                .with("reason", refusal.get().kind())
                .with("hold_ms", hold.toMillis()));
        delegated.setTimer(context.after(hold, () -> refuseOrHold(delegated, number)));
    }

    private void reply(DelegatedRequest delegated, PlacementDecision decision) {
        context.reply(() -> delegated.request().reply().accept(decision));
    }

    // Answers of leads

    private void receive(EntryId from, PlacementMessage message) {
        if (message instanceof PlacementMessage.Placed placed) {
            onPlaced(from, placed);
        } else if (message instanceof PlacementMessage.Waiting) {
            find(message).ifPresent(delegated -> onWaiting(delegated, message.number()));
        } else if (message instanceof PlacementMessage.Refused refused) {
            find(message).ifPresent(delegated -> onRefused(delegated, refused));
        } else if (message instanceof PlacementMessage.Undecided) {
            find(message)
                    .ifPresent(delegated ->
                            onNothingFromLead(delegated, delegated.request(), message.number(), "undecided"));
        } else if (message instanceof PlacementMessage.Dropped dropped) {
            remoteAttempts.drop(from, ticketOf(dropped.number()));
        }
    }

    private Optional<DelegatedRequest> find(PlacementMessage message) {
        return Optional.ofNullable(pending.get(message.number()));
    }

    private void removePending(long number) {
        Optional.ofNullable(pending.remove(number)).ifPresent(DelegatedRequest::cancelTimer);
    }

    private void onWaiting(DelegatedRequest delegated, long number) {
        long now = context.nowNanos();
        long leftMillis = delegated.request().leftMillis() - delegated.waitedMillis(now);
        Duration maxWait = Duration.ofMillis((long) (Math.max(0, leftMillis) * SHARE_OF_TIME_LEFT));
        if (delegated.isPassedOver()) {
            delegated.extendLeadDeadline(now + maxWait.toNanos());
            refuseOrHold(delegated, number);
        } else {
            delegated.setTimer(context.after(maxWait, () -> passOver(delegated, number, "waited too long")));
        }
    }

    private void onRefused(DelegatedRequest delegated, PlacementMessage.Refused refused) {
        YuccagwException error = refused.kind().fromAnswer(refused.message());
        YuccagwException errorWithRetry =
                refused.retryAfter().map(error::withRetryAfter).orElse(error);
        context.perform(logLine("refused", delegated)
                .with("route", delegated.request().route().name())
                .with("reason", refused.kind()));
        if (delegated.isPassedOver() && !FINAL_REFUSALS.contains(refused.kind())) {
            delegated.holdRefusalOfLead(errorWithRetry, context.nowNanos());
            refuseOrHold(delegated, refused.number());
        } else {
            removePending(refused.number());
            reply(delegated, new PlacementDecision.Refused(errorWithRetry));
        }
    }

    /** Handles the end of the lead's part without a usable decision; this entry decides the given request instead. */
    private void onNothingFromLead(DelegatedRequest delegated, PlacementRequest request, long number, String reason) {
        if (delegated.isPassedOver()) {
            delegated.giveUpLead();
            refuseOrHold(delegated, number);
        } else {
            removePending(number);
            decideLocally(delegated, request, reason);
        }
    }

    private void onPlaced(EntryId from, PlacementMessage.Placed placed) {
        Optional<DelegatedRequest> delegated = find(placed);
        Optional<ListedEndpoint> endpoint = usable.apply(placed.endpoint())
                .filter(listed -> delegated.isEmpty()
                        || delegated.get().request().continuation().permits(listed))
                .filter(listed -> delegated.isEmpty()
                        || weightLimits.permits(delegated.get().request(), placed.version()));
        if (delegated.isEmpty() || endpoint.isEmpty()) {
            returnPlacement(from, placed.number());
            delegated.ifPresent(unplaced -> onNothingFromLead(
                    unplaced, unplaced.request().countedElsewhere(), placed.number(), "endpoint not usable"));
            return;
        }
        removePending(placed.number());
        Optional<YuccagwException> suspect =
                suspectParts.refusalOf(delegated.get().request());
        if (suspect.isPresent()) {
            returnPlacement(from, placed.number());
            refuseSuspect(delegated.get().request(), suspect.get());
            return;
        }
        long ticket = ticketOf(placed.number());
        Work work = Work.ofOne(placed.tokens(), placed.unreadTokens());
        remoteAttempts.add(ticket, from, placed.endpoint(), work);
        context.perform(logLine("placed-by-lead", delegated.get()).with("endpoint", placed.endpoint()));
        notices.recordRequest(placed.endpoint());
        reply(
                delegated.get(),
                new PlacementDecision.Placed(
                        ticket,
                        endpoint.get(),
                        placed.version(),
                        weightLimits.beginWithin(delegated.get().request(), placed.version()),
                        placed.salt(),
                        placed.cache(),
                        placed.urgency(),
                        placed.firstByteMillis(),
                        placed.rateLimited()));
    }

    private void returnPlacement(EntryId lead, long number) {
        context.send(
                lead,
                new PlacementMessage.Ended(
                        number,
                        AttemptEnded.End.LEFT,
                        OptionalLong.empty(),
                        Optional.empty(),
                        AttemptEnded.Success.NONE));
    }

    /** Returns the ticket of a remote placement. Tickets of local placements are positive, so this one is negative. */
    private static long ticketOf(long number) {
        return -number;
    }

    // Progress of attempts

    private void onEnded(AttemptEnded ended) {
        Optional<EndpointIncarnation> endpoint = remoteAttempts.end(ended);
        if (endpoint.isPresent() && ended.end() == AttemptEnded.End.UNREACHED) {
            unreachedUntilNanos.put(endpoint.get().endpoint(), context.nowNanos() + UNREACHED_EXCLUSION.toNanos());
        }
    }

    private void giveUpLostLead(DelegatedRequest delegated, long number) {
        if (!delegated.isPassedOver()) {
            passOver(delegated, number, "lead lost");
        }
        delegated.giveUpLead();
        refuseOrHold(delegated, number);
    }

    private void onPeerLost(EntryId entry) {
        List<Long> unanswered = pending.entrySet().stream()
                .filter(each -> each.getValue().lead().equals(entry))
                .map(Map.Entry::getKey)
                .toList();
        unanswered.forEach(number -> giveUpLostLead(pending.get(number), number));
        remoteAttempts.countThoseOf(entry);
    }
}
