package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.placing.AttemptEnded.End;

/**
 * Places requests for other entries. Passes their requests to the placement of this entry as if its own callers had
 * sent them, and sends the decisions back. Decisions on this entry's own requests go to their callers, or to {@link
 * PlacementClient} if a lead may still decide them too.
 *
 * <p>Any entry does this for any other one that queries it. No guarantee depends on which entry decides: the entry that
 * forwards a request knows whether it ran and whether it may run again.
 *
 * <p>Invariant: a placement for another entry counts until that entry returns it, fails or restarts, and never for more
 * than {@link #DEADLINE_GRACE} beyond the request's deadline. The last condition guards against the loss of the message
 * that returns it, which would make the endpoint appear busier forever.
 */
public final class PlacementResponder implements ControlComponent, PlacementComponent.DecisionHandler {
    private static final Duration DEADLINE_GRACE = Duration.ofSeconds(1);
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /**
     * An endpoint that one entry couldn't reach is avoided by all once another entry can't reach it within this time.
     */
    private static final Duration UNREACHED_WINDOW = Duration.ofSeconds(3);

    private final LongFunction<Work> workOf;
    private final NoticesComponent notices;
    private final IdentityHashMap<PlacementRequest, Origin> origins = new IdentityHashMap<>();
    private final IdentityHashMap<PlacementRequest, Long> rivalNumbers = new IdentityHashMap<>();
    private final Map<EntryId, Map<Long, RemotePlacement>> placements = new HashMap<>();
    private final Map<EndpointIncarnation, UnreachedReport> unreachedReports = new HashMap<>();
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;

    private PlacementResponder(LongFunction<Work> workOf, NoticesComponent notices) {
        this.workOf = workOf;
        this.notices = notices;
    }

    /**
     * Creates the responder of one entry.
     *
     * @param workOf returns the work that a ticket of the placement counts
     * @param notices records the requests that this entry sends itself
     */
    public static PlacementResponder of(LongFunction<Work> workOf, NoticesComponent notices) {
        return new PlacementResponder(workOf, notices);
    }

    private record Origin(EntryId entry, long number) {}

    private record RemotePlacement(long ticket, EndpointIncarnation endpoint, long untilNanos) {}

    private record UnreachedReport(EntryId entry, long reportedNanos) {}

    @Override
    public void start(ControlContext controlContext) {
        context = controlContext;
        context.after(SWEEP_INTERVAL, this::sweep);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received && received.message() instanceof PlacementMessage message) {
            receive(received.from(), message);
        } else if (event instanceof RivalDecision.Requested requested) {
            rivalNumbers.put(requested.request(), requested.number());
            context.raise(new LocalPlacementRequested(requested.request()));
        } else if (event instanceof ConfigurationComponent.Applied applied) {
            deployment = Optional.of(applied.deployment());
        } else if (event instanceof PeersComponent.PeerLost lost) {
            endPlacementsOf(lost);
        }
    }

    private void receive(EntryId from, PlacementMessage message) {
        if (message instanceof PlacementMessage.Ask ask) {
            onAsk(from, ask);
        } else if (message instanceof PlacementMessage.Begun begun) {
            RemotePlacement placement = placementsOf(from).get(begun.number());
            if (placement != null) {
                context.raise(new AttemptBegun(placement.ticket()));
            }
        } else if (message instanceof PlacementMessage.Ended ended) {
            RemotePlacement placement = placementsOf(from).remove(ended.number());
            if (placement != null) {
                End end = ended.end() == End.UNREACHED ? confirmUnreached(from, placement.endpoint()) : ended.end();
                context.raise(
                        new AttemptEnded(placement.ticket(), end, ended.version(), ended.pace(), ended.success()));
            }
        }
    }

    private Map<Long, RemotePlacement> placementsOf(EntryId entry) {
        return placements.computeIfAbsent(entry, name -> new HashMap<>());
    }

    private void onAsk(EntryId from, PlacementMessage.Ask ask) {
        Optional<Route> route = deployment.flatMap(known -> known.routeNamed(ask.route()));
        Optional<WorkspaceAccess> workspace =
                ask.workspace().flatMap(id -> deployment.flatMap(known -> known.workspace(id)));
        if (route.isEmpty() || workspace.isPresent() != ask.workspace().isPresent()) {
            context.send(from, new PlacementMessage.Undecided(ask.number()));
            return;
        }
        PlacementRequest request = new PlacementRequest(
                ask.request(),
                route.get(),
                ask.service(),
                workspace,
                ask.prompt(),
                ask.fingerprint(),
                ask.excluded(),
                ask.kind(),
                new StreamContinuation(ask.weights(), Optional.empty(), ask.software()),
                ask.leftMillis(),
                decision -> {});
        origins.put(request, new Origin(from, ask.number()));
        context.raise(new LocalPlacementRequested(request));
    }

    // Decisions of the placement component

    @Override
    public void onDecision(PlacementRequest request, PlacementDecision decision) {
        Origin origin = origins.remove(request);
        Long rivalNumber = rivalNumbers.remove(request);
        if (rivalNumber != null) {
            context.raise(new RivalDecision.Decided(rivalNumber, decision));
        } else if (origin == null) {
            if (decision instanceof PlacementDecision.Placed placed) {
                notices.recordRequest(placed.endpoint().incarnation());
            }
            context.reply(() -> request.reply().accept(decision));
        } else if (decision instanceof PlacementDecision.Placed placed) {
            sendPlacement(origin, request, placed);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            YuccagwException error = refused.error();
            context.send(
                    origin.entry(),
                    new PlacementMessage.Refused(
                            origin.number(), error.kind(), error.getMessage(), error.retryAfter()));
        }
    }

    @Override
    public boolean isLocal(PlacementRequest request) {
        return !origins.containsKey(request);
    }

    @Override
    public void onQueued(PlacementRequest request) {
        Origin origin = origins.get(request);
        if (origin != null) {
            context.send(origin.entry(), new PlacementMessage.Waiting(origin.number()));
        }
    }

    private void sendPlacement(Origin origin, PlacementRequest request, PlacementDecision.Placed placed) {
        long untilNanos = context.nowNanos()
                + Duration.ofMillis(request.leftMillis()).plus(DEADLINE_GRACE).toNanos();
        EndpointIncarnation endpoint = placed.endpoint().incarnation();
        placementsOf(origin.entry()).put(origin.number(), new RemotePlacement(placed.ticket(), endpoint, untilNanos));
        Work work = workOf.apply(placed.ticket());
        context.send(
                origin.entry(),
                new PlacementMessage.Placed(
                        origin.number(),
                        endpoint,
                        placed.version(),
                        placed.salt(),
                        placed.cache(),
                        placed.urgency(),
                        placed.firstByteMillis(),
                        work.tokens(),
                        work.unreadTokens(),
                        placed.rateLimited()));
    }

    // Ends of attempts

    /**
     * Returns how the failure of one entry to reach an endpoint counts here.
     *
     * <p>Guards against an entry that has lost its own connectivity: on its report alone the whole failure domain would
     * stop using the endpoints.
     */
    private End confirmUnreached(EntryId from, EndpointIncarnation endpoint) {
        long now = context.nowNanos();
        UnreachedReport previous = unreachedReports.put(endpoint, new UnreachedReport(from, now));
        boolean confirmed = previous != null
                && !previous.entry().equals(from)
                && now - previous.reportedNanos() < UNREACHED_WINDOW.toNanos();
        return confirmed ? End.UNREACHED : End.UNREACHED_BY_ONE;
    }

    /**
     * Ends the placements of an entry that was lost, and tells it so.
     *
     * <p>Guards against an entry that is only cut off or suspended: its requests run on while nobody counts them, so
     * that further ones are sent to engines that are busy.
     */
    private void endPlacementsOf(PeersComponent.PeerLost lost) {
        Map<Long, RemotePlacement> entryPlacements = placements.remove(lost.entry());
        if (entryPlacements == null) {
            return;
        }
        entryPlacements.forEach((number, placement) -> {
            endPlacement(placement);
            if (!lost.restarted()) {
                context.send(lost.entry(), new PlacementMessage.Dropped(number));
            }
        });
    }

    private void sweep() {
        context.after(SWEEP_INTERVAL, this::sweep);
        long now = context.nowNanos();
        for (Map<Long, RemotePlacement> entryPlacements : placements.values()) {
            ImmutableList<Long> expired = entryPlacements.entrySet().stream()
                    .filter(each -> now - each.getValue().untilNanos() > 0)
                    .map(Map.Entry::getKey)
                    .collect(ImmutableList.toImmutableList());
            expired.forEach(number -> endPlacement(entryPlacements.remove(number)));
        }
        unreachedReports.values().removeIf(each -> now - each.reportedNanos() > UNREACHED_WINDOW.toNanos());
    }

    private void endPlacement(RemotePlacement placement) {
        context.raise(new AttemptEnded(placement.ticket(), End.LEFT, OptionalLong.empty()));
    }
}
