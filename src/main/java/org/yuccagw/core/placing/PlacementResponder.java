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
 * Places requests for other entries: takes what they ask, hands it to the placing of this entry as if a caller of its
 * own had come, and passes the decision on.
 *
 * <p>Any entry does this for any other one that asks. Nothing that must hold depends on who decides: whether a request
 * ran and whether it may run again is known to the entry that forwards it.
 *
 * <p>Invariant: a place that was given to another entry counts until that entry gives it back, dies or starts anew, and
 * never for more than {@link #AFTER_DEADLINE} beyond the request's time. The last one guards against the loss of the
 * message that gives it back, which would make the endpoint look busier for good.
 */
public final class PlacementResponder implements ControlComponent, PlacementComponent.Answers {
    private static final Duration AFTER_DEADLINE = Duration.ofSeconds(1);
    private static final Duration SWEEP = Duration.ofSeconds(1);

    /** What one entry couldn't reach counts for all once another one couldn't reach it either, within this. */
    private static final Duration UNREACHED_BY_TWO = Duration.ofSeconds(3);

    private final LongFunction<Work> workOf;
    private final NoticesComponent notices;
    private final IdentityHashMap<PlacementRequest, Asker> asking = new IdentityHashMap<>();
    private final Map<EntryId, Map<Long, Given>> given = new HashMap<>();
    private final Map<EndpointIncarnation, Unreached> unreached = new HashMap<>();
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;

    private PlacementResponder(LongFunction<Work> workOf, NoticesComponent notices) {
        this.workOf = workOf;
        this.notices = notices;
    }

    /**
     * The desk of one entry.
     *
     * @param workOf what a ticket of the placing counts
     * @param notices hears of what this entry sends itself
     */
    public static PlacementResponder of(LongFunction<Work> workOf, NoticesComponent notices) {
        return new PlacementResponder(workOf, notices);
    }

    private record Asker(EntryId entry, long number) {}

    private record Given(long ticket, EndpointIncarnation endpoint, long untilNanos) {}

    private record Unreached(EntryId by, long atNanos) {}

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        context.after(SWEEP, this::sweep);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PeerReceived received && received.message() instanceof PlacementMessage message) {
            receive(received.from(), message);
        } else if (event instanceof ConfigurationComponent.Applied applied) {
            deployment = Optional.of(applied.deployment());
        } else if (event instanceof PeersComponent.PeerLost lost) {
            endAll(lost.entry());
        }
    }

    private void receive(EntryId from, PlacementMessage message) {
        if (message instanceof PlacementMessage.Ask ask) {
            onAsk(from, ask);
        } else if (message instanceof PlacementMessage.Begun begun) {
            Given place = placesOf(from).get(begun.number());
            if (place != null) {
                context.raise(new AttemptBegun(place.ticket()));
            }
        } else if (message instanceof PlacementMessage.Ended ended) {
            Given place = placesOf(from).remove(ended.number());
            if (place != null) {
                End end = ended.end() == End.UNREACHED ? unreached(from, place.endpoint()) : ended.end();
                context.raise(new AttemptEnded(place.ticket(), end, ended.version()));
            }
        }
    }

    private Map<Long, Given> placesOf(EntryId entry) {
        return given.computeIfAbsent(entry, name -> new HashMap<>());
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
                ask.pinned(),
                ask.leftMillis(),
                decision -> {});
        asking.put(request, new Asker(from, ask.number()));
        context.raise(new LocalPlacementRequested(request));
    }

    // ---- Decisions of the placing.

    @Override
    public void decided(PlacementRequest request, PlacementDecision decision) {
        Asker asker = asking.remove(request);
        if (asker == null) {
            if (decision instanceof PlacementDecision.Placed placed) {
                notices.sendsRequest(placed.endpoint().incarnation());
            }
            context.reply(() -> request.reply().accept(decision));
        } else if (decision instanceof PlacementDecision.Placed placed) {
            give(asker, request, placed);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            YuccagwException error = refused.error();
            context.send(
                    asker.entry(),
                    new PlacementMessage.Refused(asker.number(), error.kind(), error.getMessage(), error.retryAfter()));
        }
    }

    @Override
    public boolean isOwn(PlacementRequest request) {
        return !asking.containsKey(request);
    }

    @Override
    public void waits(PlacementRequest request) {
        Asker asker = asking.get(request);
        if (asker != null) {
            context.send(asker.entry(), new PlacementMessage.Waiting(asker.number()));
        }
    }

    private void give(Asker asker, PlacementRequest request, PlacementDecision.Placed placed) {
        long until = context.nowNanos()
                + Duration.ofMillis(request.leftMillis()).plus(AFTER_DEADLINE).toNanos();
        EndpointIncarnation endpoint = placed.endpoint().incarnation();
        placesOf(asker.entry()).put(asker.number(), new Given(placed.ticket(), endpoint, until));
        Work work = workOf.apply(placed.ticket());
        context.send(
                asker.entry(),
                new PlacementMessage.Placed(
                        asker.number(),
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

    // ---- Ends.

    /**
     * Whether an endpoint that one entry couldn't reach counts as such here.
     *
     * <p>Guards against an entry that is cut off from endpoints: on its word alone none of them would be used by the
     * whole failure domain.
     */
    private End unreached(EntryId from, EndpointIncarnation endpoint) {
        long now = context.nowNanos();
        Unreached before = unreached.put(endpoint, new Unreached(from, now));
        boolean byTwo =
                before != null && !before.by().equals(from) && now - before.atNanos() < UNREACHED_BY_TWO.toNanos();
        return byTwo ? End.UNREACHED : End.UNREACHED_BY_ONE;
    }

    private void endAll(EntryId entry) {
        Map<Long, Given> places = given.remove(entry);
        if (places != null) {
            places.values().forEach(this::end);
        }
    }

    private void sweep() {
        context.after(SWEEP, this::sweep);
        long now = context.nowNanos();
        for (Map<Long, Given> places : given.values()) {
            ImmutableList<Long> over = places.entrySet().stream()
                    .filter(each -> now - each.getValue().untilNanos() > 0)
                    .map(Map.Entry::getKey)
                    .collect(ImmutableList.toImmutableList());
            over.forEach(number -> end(places.remove(number)));
        }
        unreached.values().removeIf(each -> now - each.atNanos() > UNREACHED_BY_TWO.toNanos());
    }

    private void end(Given place) {
        context.raise(new AttemptEnded(place.ticket(), End.LEFT, OptionalLong.empty()));
    }
}
