package org.yuccagw.core.notice;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.peers.UpdateBroadcaster;

/**
 * What endpoints said of themselves in answers to this entry: that they leave, and for how long they want nothing from
 * it. Rate limits, which bind all entries together, are {@code RateLimitsComponent}'s.
 *
 * <p>Leaving is final for an incarnation. It is remembered longer than the endpoint is listed, since a registration
 * that lapsed with the key-value service comes back as it was. Whoever hears it first tells all that place requests;
 * an entry that misses this is told by the next answer that it passes on itself.
 */
public final class NoticesComponent implements ControlComponent {
    private static final Duration SWEEP = Duration.ofSeconds(1);

    /** Longer than any endpoint takes to end. */
    private static final Duration LEAVING_KEPT = Duration.ofMinutes(10);

    /** Of an endpoint to which nobody sends anything. */
    private static final Duration UNPROVEN_KEPT = Duration.ofMinutes(1);

    /** Names of headers come from outside. */
    private static final int MOST_UNKNOWN_NAMES = 50;

    private final UpdateBroadcaster broadcaster;
    private final Map<EndpointIncarnation, Long> leavingNanos = new HashMap<>();
    private final Map<EndpointIncarnation, EndpointBackOff> backOffs = new HashMap<>();
    private final Set<String> unknownNames = new HashSet<>();
    private ControlContext context;
    private boolean sweepScheduled;

    private NoticesComponent(UpdateBroadcaster broadcaster) {
        this.broadcaster = broadcaster;
    }

    /**
     * What one entry was told.
     *
     * @param broadcaster tells the others
     */
    public static NoticesComponent of(UpdateBroadcaster broadcaster) {
        return new NoticesComponent(broadcaster);
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof NoticeReceived heard) {
            hear(heard);
        } else if (event instanceof PeerReceived received && received.message() instanceof EndpointUpdate update) {
            learn(received.from(), update);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed
                && listed.endpoint().leaving()) {
            remember(listed.endpoint().incarnation());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(NoticesSnapshot.class, new NoticesSnapshot(leavingNanos.size(), backOffs.size()));
    }

    // ---- What others ask.

    /** Whether the endpoint said that it leaves, here, to another entry or by its registration. */
    public boolean isLeaving(EndpointIncarnation endpoint) {
        return leavingNanos.containsKey(endpoint);
    }

    /** Whether the endpoint wants nothing from this entry now. */
    public boolean backsOff(EndpointIncarnation endpoint) {
        return !backOffLeft(endpoint).isZero();
    }

    /** How much longer the endpoint wants nothing from this entry; zero if it said nothing like that. */
    public Duration backOffLeft(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known == null ? Duration.ZERO : known.left(context.nowNanos());
    }

    /**
     * Whether a request may be placed there now.
     *
     * @param own whether this entry sends it itself
     */
    public boolean mayPlace(EndpointIncarnation endpoint, boolean own) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known == null) {
            return true;
        }
        long now = context.nowNanos();
        boolean refusesThis = own && !known.left(now).isZero();
        return !refusesThis && !known.isProbed(now);
    }

    /** Whether the endpoint turned several entries away, so that it has no room for others either. */
    public boolean isFull(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known != null && known.isFull(context.nowNanos());
    }

    /** Whether any endpoint turned requests away lately. */
    public boolean isAnyBackingOff() {
        return !backOffs.isEmpty();
    }

    /**
     * How much longer the endpoint turns requests away as far as known.
     *
     * @param own whether this entry sends them itself
     */
    public Duration turnsAwayFor(EndpointIncarnation endpoint, boolean own) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known == null) {
            return Duration.ZERO;
        }
        long now = context.nowNanos();
        Duration full = known.fullLeft(now);
        return own ? Comparators.max(full, known.left(now)) : full;
    }

    /** Notes that a request is placed there now, by this entry for itself or for another one. */
    public void places(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.placed(context.nowNanos());
        }
    }

    /** Notes that a request that was placed there then is answered. */
    public void answered(EndpointIncarnation endpoint, long placedNanos) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null && known.answered(placedNanos, context.nowNanos())) {
            end(endpoint, backOffs.remove(endpoint));
        }
    }

    /** Notes that a request that was placed there ended without an answer. */
    public void unanswered(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.unanswered();
        }
    }

    /** Notes that a request of a caller of this entry is sent there now. */
    public void sendsRequest(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.countRequest(context.nowNanos());
        }
    }

    /** Whether the endpoint bears one more call of this entry that is no request, and that can't wait. */
    public boolean bearsCall(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known == null || known.bearsCall(context.nowNanos());
    }

    /** Notes a call that is no caller's request, such as one for cache events or for the state of an engine. */
    public void sendsCall(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.countOtherCall(context.nowNanos());
        }
    }

    // ---- What endpoints say.

    private void hear(NoticeReceived heard) {
        EndpointNotice notice = heard.notice();
        if (notice.leaving()) {
            leave(heard.endpoint(), context.self().entry());
        }
        notice.backOff().ifPresent(time -> backOff(heard.endpoint(), time));
        notice.unknown().forEach(name -> logUnknown(heard.endpoint(), name));
    }

    private void learn(EntryId from, EndpointUpdate update) {
        if (update.leaving()) {
            leave(update.endpoint(), from);
        }
        update.backOff().ifPresent(time -> backOffOf(update.endpoint()).asked(from, time, context.nowNanos()));
    }

    private void leave(EndpointIncarnation endpoint, EntryId from) {
        if (!remember(endpoint)) {
            return;
        }
        context.perform(
                Decision.of("endpoint-said-leaving").with("endpoint", endpoint).with("from", from));
        context.raise(new EndpointLeaves(endpoint));
        EndpointUpdate update = new EndpointUpdate(endpoint, true, Optional.empty());
        if (from.equals(context.self().entry()) || broadcaster.forwardsFor(from)) {
            broadcaster.broadcast(update);
        }
        broadcaster.sendToFollowers(update);
    }

    /** Whether that is new. */
    private boolean remember(EndpointIncarnation endpoint) {
        boolean first = leavingNanos.put(endpoint, context.nowNanos()) == null;
        if (first) {
            sweepLater();
        }
        return first;
    }

    private void backOff(EndpointIncarnation endpoint, Duration time) {
        EntryId self = context.self().entry();
        boolean first = !backsOff(endpoint);
        backOffOf(endpoint).asked(self, time, context.nowNanos());
        if (first) {
            context.perform(
                    Decision.of("back-off-asked").with("endpoint", endpoint).with("millis", time.toMillis()));
            broadcaster.broadcast(new EndpointUpdate(endpoint, false, Optional.of(time)));
        }
    }

    private EndpointBackOff backOffOf(EndpointIncarnation endpoint) {
        sweepLater();
        return backOffs.computeIfAbsent(
                endpoint, first -> EndpointBackOff.knownTo(context.self().entry()));
    }

    private void logUnknown(EndpointIncarnation endpoint, String name) {
        if (unknownNames.size() < MOST_UNKNOWN_NAMES && unknownNames.add(name)) {
            context.perform(
                    Decision.of("unknown-header").with("endpoint", endpoint).with("name", name));
        }
    }

    // ---- What is over.

    private void sweepLater() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            context.after(SWEEP, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        long now = context.nowNanos();
        leavingNanos.values().removeIf(since -> now - since > LEAVING_KEPT.toNanos());
        backOffs.entrySet().removeIf(each -> endIfSilent(each.getKey(), each.getValue(), now));
        if (!leavingNanos.isEmpty() || !backOffs.isEmpty()) {
            sweepLater();
        }
    }

    private boolean endIfSilent(EndpointIncarnation endpoint, EndpointBackOff known, long now) {
        boolean silent = known.isSilentFor(UNPROVEN_KEPT, now);
        if (silent) {
            end(endpoint, known);
        }
        return silent;
    }

    private void end(EndpointIncarnation endpoint, EndpointBackOff known) {
        context.perform(Decision.of("back-off-over")
                .with("endpoint", endpoint)
                .with("requests", known.requests())
                .with("other_calls", known.otherCalls()));
    }
}
