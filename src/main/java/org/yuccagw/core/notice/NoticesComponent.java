package org.yuccagw.core.notice;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.peers.UpdateBroadcaster;

/**
 * Maintains the state that endpoints reported in answers to this entry: that they are leaving, and how long they must
 * not receive requests of this entry. Rate limits, which apply to all entries together, belong to
 * {@code RateLimitsComponent}.
 *
 * <p>Leaving is final for an incarnation. It is remembered for longer than the endpoint is listed, since a registration
 * that lapsed with the key-value service may return unchanged. The entry that learns of it first notifies all entries
 * that place requests; an entry that misses this message learns of it from the next answer that it forwards itself.
 */
public final class NoticesComponent implements ControlComponent {
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /** Longer than any endpoint takes to stop. */
    private static final Duration LEAVING_RETENTION = Duration.ofMinutes(10);

    /** Removes the back-off of an endpoint to which no entry sends anything any more. */
    private static final Duration INACTIVE_RETENTION = Duration.ofMinutes(1);

    /** Names of headers are external input, so their number has to be limited. */
    private static final int MAX_UNKNOWN_NAMES = 50;

    private final UpdateBroadcaster broadcaster;
    private final Map<EndpointIncarnation, Long> leavingNanos = new HashMap<>();
    private final Map<EndpointIncarnation, EndpointBackOff> backOffs = new HashMap<>();
    private final UnseenStarts unseenStarts = new UnseenStarts();
    private final Set<String> unknownNames = new HashSet<>();
    private ControlContext context;
    private boolean sweepScheduled;

    private NoticesComponent(UpdateBroadcaster broadcaster) {
        this.broadcaster = broadcaster;
    }

    /**
     * Creates the notices of one entry.
     *
     * @param broadcaster sends updates to the other entries
     */
    public static NoticesComponent of(UpdateBroadcaster broadcaster) {
        return new NoticesComponent(broadcaster);
    }

    @Override
    public void start(ControlContext controlContext) {
        context = controlContext;
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof NoticeReceived received) {
            onNotice(received);
        } else if (event instanceof PeerReceived received && received.message() instanceof EndpointUpdate update) {
            onUpdate(received.from(), update);
        } else if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            onListed(listed.endpoint(), updated.unseenSinceNanos());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(NoticesSnapshot.class, new NoticesSnapshot(leavingNanos.size(), backOffs.size()));
    }

    // State for other components

    /**
     * Returns whether the endpoint announced that it is leaving, to this entry, to another one or in its registration.
     */
    public boolean isLeaving(EndpointIncarnation endpoint) {
        return leavingNanos.containsKey(endpoint);
    }

    /**
     * Returns whether the endpoint may have announced that it is leaving, in an answer that can also be one of its
     * earlier start.
     */
    public boolean mayBeLeaving(EndpointIncarnation endpoint) {
        return unseenStarts.mayBeLeaving(endpoint, context.nowNanos());
    }

    /** Returns whether the endpoint's back-off for this entry is active. */
    public boolean isBackingOff(EndpointIncarnation endpoint) {
        return !remainingBackOff(endpoint).isZero();
    }

    /** Returns the remaining back-off of this entry for the endpoint; zero if there is none. */
    public Duration remainingBackOff(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known == null ? Duration.ZERO : known.remaining(context.nowNanos());
    }

    /**
     * Returns whether a request may be placed on the endpoint now.
     *
     * @param local whether this entry sends the request itself
     */
    public boolean allowsPlacement(EndpointIncarnation endpoint, boolean local) {
        if (mayBeLeaving(endpoint)) {
            return false;
        }
        EndpointBackOff known = backOffs.get(endpoint);
        if (known == null) {
            return true;
        }
        long now = context.nowNanos();
        boolean backsOffLocally = local && !known.remaining(now).isZero();
        return !backsOffLocally && !known.isProbePending(now);
    }

    /**
     * Returns whether the endpoint rejected requests of several entries, so that it has no free capacity for others
     * either.
     */
    public boolean isFull(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known != null && known.isFull(context.nowNanos());
    }

    /** Returns whether any endpoint has recently rejected requests. */
    public boolean isAnyBackingOff() {
        return !backOffs.isEmpty();
    }

    /**
     * Returns how much longer the endpoint rejects requests, as far as known.
     *
     * @param local whether this entry sends the requests itself
     */
    public Duration remainingRejectionTime(EndpointIncarnation endpoint, boolean local) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known == null) {
            return Duration.ZERO;
        }
        long now = context.nowNanos();
        Duration remainingWhileFull = known.remainingWhileFull(now);
        return local ? Comparators.max(remainingWhileFull, known.remaining(now)) : remainingWhileFull;
    }

    /** Records that a request is placed on the endpoint now, for this entry or for another one. */
    public void recordPlacement(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.recordPlacement(context.nowNanos());
        }
    }

    /** Records the answer to a request that was placed at the given time. */
    public void recordAnswer(EndpointIncarnation endpoint, long placedNanos) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null && known.recordAnswer(placedNanos, context.nowNanos())) {
            logBackOffEnd(endpoint, backOffs.remove(endpoint));
        }
    }

    /** Records that a placed request ended without an answer. */
    public void recordUnanswered(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.recordUnanswered();
        }
    }

    /** Records that a request of a caller of this entry is sent to the endpoint now. */
    public void recordRequest(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.countRequest(context.nowNanos());
        }
    }

    /** Returns whether the endpoint accepts one more internal call of this entry that can't wait. */
    public boolean allowsInternalCall(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        return known == null || known.allowsInternalCall(context.nowNanos());
    }

    /**
     * Records an internal call, which serves no caller's request, such as one for cache events or for the state of an
     * engine.
     */
    public void recordInternalCall(EndpointIncarnation endpoint) {
        EndpointBackOff known = backOffs.get(endpoint);
        if (known != null) {
            known.countInternalCall(context.nowNanos());
        }
    }

    // Registrations, notices and updates

    private void onListed(ListedEndpoint listed, OptionalLong unseenSinceNanos) {
        EndpointIncarnation start = listed.incarnation();
        if (listed.leaving()) {
            rememberLeaving(start);
        } else if (!isLeaving(start) && unseenStarts.recordStart(start, unseenSinceNanos, context.nowNanos())) {
            context.perform(Decision.of("endpoint-may-be-leaving").with("endpoint", start));
        }
    }

    private void onNotice(NoticeReceived received) {
        EndpointNotice notice = received.notice();
        if (notice.leaving()) {
            markLeaving(received.endpoint(), context.self().entry());
        }
        notice.backOff().ifPresent(duration -> startBackOff(received.endpoint(), duration));
        notice.unknown().forEach(name -> logUnknownHeader(received.endpoint(), name));
    }

    private void onUpdate(EntryId from, EndpointUpdate update) {
        if (update.leaving()) {
            markLeaving(update.endpoint(), from);
        }
        update.backOff()
                .ifPresent(duration -> backOffOf(update.endpoint()).recordBackOff(from, duration, context.nowNanos()));
    }

    private void markLeaving(EndpointIncarnation endpoint, EntryId from) {
        unseenStarts.recordNotice(endpoint.endpoint(), context.nowNanos());
        if (!rememberLeaving(endpoint)) {
            return;
        }
        context.perform(
                Decision.of("endpoint-said-leaving").with("endpoint", endpoint).with("from", from));
        context.raise(new EndpointLeaving(endpoint));
        EndpointUpdate update = new EndpointUpdate(endpoint, true, Optional.empty());
        if (from.equals(context.self().entry()) || broadcaster.forwardsFor(from)) {
            broadcaster.broadcast(update);
        }
        broadcaster.sendToFollowers(update);
    }

    /** Remembers that the endpoint is leaving. Returns whether this is new. */
    private boolean rememberLeaving(EndpointIncarnation endpoint) {
        boolean isNew = leavingNanos.put(endpoint, context.nowNanos()) == null;
        if (isNew) {
            scheduleSweep();
        }
        return isNew;
    }

    private void startBackOff(EndpointIncarnation endpoint, Duration duration) {
        EntryId self = context.self().entry();
        boolean isNew = !isBackingOff(endpoint);
        backOffOf(endpoint).recordBackOff(self, duration, context.nowNanos());
        if (isNew) {
            context.perform(
                    Decision.of("back-off-asked").with("endpoint", endpoint).with("millis", duration.toMillis()));
            broadcaster.broadcast(new EndpointUpdate(endpoint, false, Optional.of(duration)));
        }
    }

    private EndpointBackOff backOffOf(EndpointIncarnation endpoint) {
        scheduleSweep();
        return backOffs.computeIfAbsent(
                endpoint, key -> EndpointBackOff.forEntry(context.self().entry()));
    }

    private void logUnknownHeader(EndpointIncarnation endpoint, String name) {
        if (unknownNames.size() < MAX_UNKNOWN_NAMES && unknownNames.add(name)) {
            context.perform(
                    Decision.of("unknown-header").with("endpoint", endpoint).with("name", name));
        }
    }

    // Expiry

    private void scheduleSweep() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            context.after(SWEEP_INTERVAL, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        long now = context.nowNanos();
        unseenStarts.expire(LEAVING_RETENTION, now);
        leavingNanos.values().removeIf(since -> now - since > LEAVING_RETENTION.toNanos());
        backOffs.entrySet().removeIf(each -> removeIfInactive(each.getKey(), each.getValue(), now));
        if (!leavingNanos.isEmpty() || !backOffs.isEmpty() || !unseenStarts.isEmpty()) {
            scheduleSweep();
        }
    }

    private boolean removeIfInactive(EndpointIncarnation endpoint, EndpointBackOff known, long now) {
        boolean inactive = known.isInactiveFor(INACTIVE_RETENTION, now);
        if (inactive) {
            logBackOffEnd(endpoint, known);
        }
        return inactive;
    }

    private void logBackOffEnd(EndpointIncarnation endpoint, EndpointBackOff known) {
        context.perform(Decision.of("back-off-over")
                .with("endpoint", endpoint)
                .with("requests", known.requests())
                .with("other_calls", known.internalCalls()));
    }
}
