package org.yuccagw.core.placing;

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
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeersComponent;

/**
 * Has the lead of the failure domain place this entry's requests, in a large fleet.
 *
 * <p>With 95 entries each placed alone, knowing of the others what a heartbeat told a second ago: a fifth of the long
 * prompts came late at a load at which 18 entries make one in a hundred late. A lead that is asked for every place
 * and told when each answer begins and ends knows the queue at each engine of its domain, and costs four short
 * messages a request, where telling every entry of the domain costs fifty.
 *
 * <p>The cases:
 *
 * <ol>
 *   <li>In a mesh, and at the first lead itself, everything is decided here; but where only other entries of the mesh
 *       may send to the endpoints, since all of these have rate limits, one of them is asked like a lead.
 *   <li>A lead that says nothing within {@link #PATIENCE} isn't asked for {@link #DISTRUST}; the request is decided
 *       here by what the last heartbeats told. Whatever the lead answers later is given back.
 *   <li>A lead that lets a request wait says so, and has until {@link #SHARE_OF_LEFT} of the request's time has passed.
 *   <li>When a lead dies, what waits there is decided anew, and what runs on its decision counts as work of this entry
 *       from then on, so that the next heartbeat tells the next lead of it.
 *   <li>An endpoint that the lead names but this entry knows to leave is given back and the request decided here: an
 *       entry is bound by what it knows itself.
 * </ol>
 *
 * <p>Invariant: every place that a lead gave is given back exactly once, or ends with this process or with the lead.
 */
public final class PlacementClient implements ControlComponent {
    /**
     * Within a failure domain an answer takes 1 to 3 ms. A lead on a shared processor that has used up its slice pauses
     * for some tens of milliseconds; a request with a target of 200 ms bears that once.
     */
    static final Duration PATIENCE = Duration.ofMillis(30);

    /** About two heartbeats: whoever stood still for a moment is asked again, whoever died is known to be dead soon. */
    static final Duration DISTRUST = Duration.ofMillis(600);

    private static final double SHARE_OF_LEFT = 0.6;

    /** Leads don't share what one entry couldn't reach; so it names the endpoint as excluded for so long. */
    private static final Duration UNREACHED_AVOIDED = Duration.ofMillis(800);

    private final Function<PlacementRequest, List<EntryId>> placers;
    private final Function<EndpointIncarnation, Optional<ListedEndpoint>> usable;
    private final Supplier<List<EndpointId>> spared;
    private final NoticesComponent notices;
    private final Map<Long, Asked> pending = new HashMap<>();
    private final Map<Long, Elsewhere> elsewhere = new HashMap<>();
    private final Map<EntryId, Long> distrustedUntil = new HashMap<>();
    private final Map<EndpointId, Long> unreachedUntil = new HashMap<>();
    private ControlContext context;
    private long nextNumber = 1;

    /** A request that a lead was asked to place. */
    private static final class Asked {
        private final PlacementRequest request;
        private final EntryId lead;
        private final long sinceNanos;
        private ControlContext.Timer timer;

        private Asked(PlacementRequest request, EntryId lead, long sinceNanos) {
            this.request = request;
            this.lead = lead;
            this.sinceNanos = sinceNanos;
        }
    }

    /** An attempt that runs on a lead's decision. */
    private static final class Elsewhere {
        private final EntryId lead;
        private final EndpointIncarnation endpoint;
        private Work work;
        private boolean countsHere;

        private Elsewhere(EntryId lead, EndpointIncarnation endpoint, Work work) {
            this.lead = lead;
            this.endpoint = endpoint;
            this.work = work;
        }
    }

    private PlacementClient(
            Function<PlacementRequest, List<EntryId>> placers,
            Function<EndpointIncarnation, Optional<ListedEndpoint>> usable,
            Supplier<List<EndpointId>> spared,
            NoticesComponent notices) {
        this.placers = placers;
        this.usable = usable;
        this.spared = spared;
        this.notices = notices;
    }

    /**
     * The relay of one entry.
     *
     * @param placers who places a request of this entry, the first one first; empty if it decides itself
     * @param usable the endpoint, if this entry knows nothing against it
     * @param spared endpoints to which this entry sends nothing, whatever others know of them
     * @param notices hears of what this entry sends
     */
    public static PlacementClient of(
            Function<PlacementRequest, List<EntryId>> placers,
            Function<EndpointIncarnation, Optional<ListedEndpoint>> usable,
            Supplier<List<EndpointId>> spared,
            NoticesComponent notices) {
        return new PlacementClient(placers, usable, spared, notices);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PlacementRequest request) {
            onAsked(request);
        } else if (event instanceof PeerReceived received && received.message() instanceof PlacementMessage message) {
            receive(received.from(), message);
        } else if (event instanceof AttemptBegun begun) {
            onBegun(begun);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended);
        } else if (event instanceof PeersComponent.PeerLost lost) {
            onLost(lost.entry());
        }
    }

    // ---- Asking.

    private void onAsked(PlacementRequest request) {
        Optional<EntryId> lead = trustedLead(request);
        if (lead.isEmpty()) {
            context.raise(new LocalPlacementRequested(request));
            return;
        }
        long number = nextNumber++;
        Asked question = new Asked(request, lead.get(), context.nowNanos());
        pending.put(number, question);
        context.send(lead.get(), messageOf(number, request));
        question.timer = context.after(PATIENCE, () -> giveUp(number, "silent"));
    }

    /** The first lead that may be asked; empty if this entry comes before it or there is none. */
    private Optional<EntryId> trustedLead(PlacementRequest request) {
        for (EntryId lead : placers.apply(request)) {
            if (lead.equals(context.self().entry())) {
                return Optional.empty();
            }
            Long until = distrustedUntil.get(lead);
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
                excluded(request),
                request.kind(),
                request.pinned(),
                request.leftMillis());
    }

    private ImmutableSet<EndpointId> excluded(PlacementRequest request) {
        unreachedUntil.values().removeIf(until -> context.nowNanos() - until >= 0);
        return ImmutableSet.<EndpointId>builder()
                .addAll(request.excluded())
                .addAll(unreachedUntil.keySet())
                .addAll(spared.get())
                .build();
    }

    private void giveUp(long number, String reason) {
        Asked question = pending.remove(number);
        if (question == null) {
            return;
        }
        question.timer.cancel();
        distrustedUntil.put(question.lead, context.nowNanos() + DISTRUST.toNanos());
        decideHere(question, reason);
    }

    private void decideHere(Asked question, String reason) {
        long waitedMillis = waitedMillis(question);
        context.perform(Decision.of("lead-passed-over")
                .with("request", question.request.request())
                .with("lead", question.lead)
                .with("reason", reason)
                .with("waited_ms", waitedMillis));
        context.raise(new LocalPlacementRequested(question.request.after(waitedMillis)));
    }

    private long waitedMillis(Asked question) {
        return (context.nowNanos() - question.sinceNanos) / 1_000_000;
    }

    // ---- Answers.

    private void receive(EntryId from, PlacementMessage message) {
        if (message instanceof PlacementMessage.Placed placed) {
            onPlaced(from, placed);
        } else if (message instanceof PlacementMessage.Waiting) {
            onWaiting(message.number());
        } else if (message instanceof PlacementMessage.Refused refused) {
            take(refused.number()).ifPresent(question -> onRefused(question, refused));
        } else if (message instanceof PlacementMessage.Undecided) {
            take(message.number()).ifPresent(question -> decideHere(question, "undecided"));
        }
    }

    private Optional<Asked> take(long number) {
        Optional<Asked> question = Optional.ofNullable(pending.remove(number));
        question.ifPresent(known -> known.timer.cancel());
        return question;
    }

    private void onWaiting(long number) {
        Asked question = pending.get(number);
        if (question == null) {
            return;
        }
        question.timer.cancel();
        Duration patience = Duration.ofMillis((long) (question.request.leftMillis() * SHARE_OF_LEFT));
        question.timer = context.after(patience, () -> giveUp(number, "waited too long"));
    }

    private void onRefused(Asked question, PlacementMessage.Refused refused) {
        YuccagwException error = refused.kind().fromAnswer(refused.message());
        YuccagwException timed = refused.retryAfter().map(error::withRetryAfter).orElse(error);
        context.perform(Decision.of("refused")
                .with("request", question.request.request())
                .with("route", question.request.route().name())
                .with("lead", question.lead)
                .with("reason", refused.kind())
                .with("waited_ms", waitedMillis(question)));
        context.reply(() -> question.request.reply().accept(new PlacementDecision.Refused(timed)));
    }

    private void onPlaced(EntryId from, PlacementMessage.Placed placed) {
        Optional<Asked> question = take(placed.number());
        Optional<ListedEndpoint> endpoint = usable.apply(placed.endpoint());
        if (question.isEmpty() || endpoint.isEmpty()) {
            giveBack(from, placed.number());
            question.ifPresent(unplaced -> decideHere(unplaced, "endpoint not usable"));
            return;
        }
        long ticket = ticketOf(placed.number());
        Work work = Work.ofOne(placed.tokens(), placed.unreadTokens());
        elsewhere.put(ticket, new Elsewhere(from, placed.endpoint(), work));
        context.perform(Decision.of("placed-by-lead")
                .with("request", question.get().request.request())
                .with("lead", from)
                .with("endpoint", placed.endpoint())
                .with("waited_ms", waitedMillis(question.get())));
        PlacementDecision decision = new PlacementDecision.Placed(
                ticket,
                endpoint.get(),
                placed.version(),
                placed.salt(),
                placed.cache(),
                placed.urgency(),
                placed.firstByteMillis(),
                placed.rateLimited());
        notices.sendsRequest(placed.endpoint());
        context.reply(() -> question.get().request.reply().accept(decision));
    }

    private void giveBack(EntryId lead, long number) {
        context.send(lead, new PlacementMessage.Ended(number, AttemptEnded.End.LEFT, OptionalLong.empty()));
    }

    /** Tickets of the own placing are positive. */
    private static long ticketOf(long number) {
        return -number;
    }

    // ---- What comes of attempts.

    private void onBegun(AttemptBegun begun) {
        Elsewhere attempt = elsewhere.get(begun.ticket());
        if (attempt == null) {
            return;
        }
        Work before = attempt.work;
        attempt.work = before.begun();
        if (attempt.countsHere) {
            context.raise(new WorkTransferred(attempt.endpoint, attempt.work, before));
        } else {
            context.send(attempt.lead, new PlacementMessage.Begun(-begun.ticket()));
        }
    }

    private void onEnded(AttemptEnded ended) {
        Elsewhere attempt = elsewhere.remove(ended.ticket());
        if (attempt == null) {
            return;
        }
        if (ended.end() == AttemptEnded.End.UNREACHED) {
            unreachedUntil.put(attempt.endpoint.endpoint(), context.nowNanos() + UNREACHED_AVOIDED.toNanos());
        }
        if (attempt.countsHere) {
            context.raise(new WorkTransferred(attempt.endpoint, Work.NONE, attempt.work));
        } else {
            context.send(attempt.lead, new PlacementMessage.Ended(-ended.ticket(), ended.end(), ended.version()));
        }
    }

    private void onLost(EntryId entry) {
        List<Long> unanswered = pending.entrySet().stream()
                .filter(each -> each.getValue().lead.equals(entry))
                .map(Map.Entry::getKey)
                .toList();
        unanswered.forEach(number -> giveUp(number, "lead lost"));
        for (Elsewhere attempt : elsewhere.values()) {
            if (attempt.lead.equals(entry) && !attempt.countsHere) {
                attempt.countsHere = true;
                context.raise(new WorkTransferred(attempt.endpoint, attempt.work, Work.NONE));
            }
        }
    }
}
