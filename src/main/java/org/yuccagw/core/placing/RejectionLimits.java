package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.peers.PeersComponent;

/**
 * Limits how many requests endpoints have to reject that fail if they reject too many in a second for lack of room.
 *
 * <p>One entry places all requests on such an endpoint, the owner of its room, and the others pass theirs on to it.
 * Nobody else can know in time whether a slot is free: equal parts of a few slots are either too small to be used or
 * exceed them together. An entry that is alone in its view of a large fleet, or has just started, owns nothing.
 *
 * <p>The owner stops sending to an endpoint for a while once the endpoint has rejected part of what it can bear, by any
 * entry, since several may own it for a moment: a rejection is told to all of them at once. So is the limit that
 * endpoints of a service state, because an entry that places requests for others doesn't see the answers.
 *
 * <p>An entry that has just started doesn't know the limits. It sends a service one request and waits for the first
 * answer, which would state a limit, before it sends more.
 */
final class RejectionLimits {
    /** One second, plus the delay by which an earlier rejection may be counted closer to a later one. */
    private static final Duration WINDOW = Duration.ofMillis(1_250);

    /** Endpoints with a limit state it in every answer: it is over if answers lack it for this time. */
    private static final Duration NOTICE_MEMORY = Duration.ofSeconds(5);

    /** How long a limit is remembered without any answer: an entry that owns no room receives none. */
    private static final Duration UNANSWERED_NOTICE_MEMORY = Duration.ofSeconds(30);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    /** The rest is reserved for requests of other entries that aren't known yet. */
    private static final double SHARE_OF_ROOM = 0.75;

    /** The rest is reserved for requests that are in flight while a rejection is being told. */
    private static final double SHARE_OF_REJECTIONS = 0.5;

    /** An entry that has run for longer has been told the limits. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(3);

    /** An endpoint that hasn't answered by then doesn't hold up the others. */
    private static final Duration MAX_FIRST_ANSWER_DELAY = Duration.ofMillis(150);

    private final PlacementComponent.Fleet fleet;
    private final Map<ServiceName, Long> firstSentNanos = new HashMap<>();
    private final Set<ServiceName> answeredServices = new HashSet<>();
    private final Map<ServiceName, Notice> notices = new HashMap<>();
    private final Map<EndpointIncarnation, ArrayDeque<Long>> rejectionNanos = new HashMap<>();
    private ControlContext context;
    private long startedNanos;

    private static final class Notice {
        private int maxRejections;
        private long statedNanos;
        private long answeredNanos;
        private long reportedNanos;
        private long forwardedNanos;

        private static Notice unreported(long nowNanos) {
            Notice notice = new Notice();
            notice.answeredNanos = nowNanos;
            notice.reportedNanos = nowNanos - REPORT_INTERVAL.toNanos();
            notice.forwardedNanos = notice.reportedNanos;
            return notice;
        }
    }

    RejectionLimits(PlacementComponent.Fleet fleet) {
        this.fleet = fleet;
    }

    void start(ControlContext controlContext) {
        context = controlContext;
        startedNanos = context.nowNanos();
    }

    /** Records that this entry sends a request to the endpoint now. */
    void recordSent(EndpointState endpoint) {
        firstSentNanos.putIfAbsent(endpoint.listed().service(), context.nowNanos());
    }

    /** Records that an endpoint has answered a request of this entry, or begun to. */
    void recordAnswer(EndpointState endpoint) {
        ServiceName service = endpoint.listed().service();
        answeredServices.add(service);
        Optional.ofNullable(notices.get(service)).ifPresent(notice -> notice.answeredNanos = context.nowNanos());
    }

    /** Returns whether a service has a known limit, so that only the owners of the room of its endpoints send there. */
    boolean isLimited(ServiceName service) {
        return maxRejections(service).isPresent();
    }

    /**
     * Records that an endpoint stated its limit.
     *
     * @param maxRejections the most requests that it can reject in a second
     */
    void recordNotice(EndpointState endpoint, int maxRejections) {
        Notice notice = remember(endpoint, maxRejections);
        if (context.nowNanos() - notice.reportedNanos >= REPORT_INTERVAL.toNanos()) {
            report(endpoint, notice, false);
        }
    }

    /** Records what another entry reported. */
    void recordReport(EndpointState endpoint, RejectionLimitReported reported) {
        Notice notice = remember(endpoint, reported.maxRejections());
        notice.reportedNanos = context.nowNanos();
        if (reported.rejected()) {
            countRejection(endpoint);
        } else {
            forwardIfDue(notice, reported);
        }
    }

    /** Records that an endpoint rejected a request that this entry placed. */
    void recordRejection(EndpointState endpoint) {
        Notice notice = notices.get(endpoint.listed().service());
        if (notice != null) {
            countRejection(endpoint);
            report(endpoint, notice, true);
        }
    }

    /** Returns whether one more request may be sent to the endpoint now. */
    boolean allows(EndpointState endpoint) {
        OptionalInt maxRejections = maxRejections(endpoint.listed().service());
        if (maxRejections.isEmpty()) {
            return !awaitsFirstAnswer(endpoint.listed().service());
        }
        int rejections = Math.max(1, (int) (maxRejections.getAsInt() * SHARE_OF_REJECTIONS));
        return hasRoom(endpoint) && recentRejections(endpoint) < rejections;
    }

    private boolean awaitsFirstAnswer(ServiceName service) {
        long now = context.nowNanos();
        Long sentNanos = firstSentNanos.get(service);
        return sentNanos != null
                && !answeredServices.contains(service)
                && now - sentNanos < MAX_FIRST_ANSWER_DELAY.toNanos()
                && now - startedNanos < STARTUP_PERIOD.toNanos();
    }

    private boolean hasRoom(EndpointState endpoint) {
        int room = Math.max(1, (int) (endpoint.listed().slots() * SHARE_OF_ROOM));
        return ownsRoom(endpoint) && endpoint.totalWork().requests() < room;
    }

    private boolean ownsRoom(EndpointState endpoint) {
        boolean fleetKnown = context.nowNanos() - startedNanos >= PeersComponent.DISCOVERY_PERIOD.toNanos();
        Optional<EntryId> owner = fleet.roomOwner(endpoint.listed());
        return fleetKnown && owner.equals(Optional.of(context.self().entry()));
    }

    private OptionalInt maxRejections(ServiceName service) {
        Notice notice = notices.get(service);
        if (notice == null) {
            return OptionalInt.empty();
        }
        if (isOver(notice)) {
            notices.remove(service);
            rejectionNanos.clear();
            return OptionalInt.empty();
        }
        return OptionalInt.of(notice.maxRejections);
    }

    private boolean isOver(Notice notice) {
        long ageNanos = context.nowNanos() - notice.statedNanos;
        boolean answeredSince = notice.answeredNanos - notice.statedNanos >= NOTICE_MEMORY.toNanos() / 2;
        return ageNanos > (answeredSince ? NOTICE_MEMORY : UNANSWERED_NOTICE_MEMORY).toNanos();
    }

    private Notice remember(EndpointState endpoint, int maxRejections) {
        long now = context.nowNanos();
        Notice notice = notices.computeIfAbsent(endpoint.listed().service(), service -> Notice.unreported(now));
        notice.maxRejections = maxRejections;
        notice.statedNanos = now;
        return notice;
    }

    private void report(EndpointState endpoint, Notice notice, boolean rejected) {
        notice.reportedNanos = context.nowNanos();
        RejectionLimitReported message =
                new RejectionLimitReported(endpoint.listed().incarnation(), notice.maxRejections, rejected);
        fleet.sendToAllPlacers(message);
        if (!rejected) {
            forwardIfDue(notice, message);
        }
    }

    /** Tells the followers of this entry, at most once per interval: the leads of a domain follow each other. */
    private void forwardIfDue(Notice notice, RejectionLimitReported message) {
        long now = context.nowNanos();
        if (now - notice.forwardedNanos >= REPORT_INTERVAL.toNanos()) {
            notice.forwardedNanos = now;
            fleet.sendToFollowers(message);
        }
    }

    private void countRejection(EndpointState endpoint) {
        rejectionNanos
                .computeIfAbsent(endpoint.listed().incarnation(), incarnation -> new ArrayDeque<>())
                .add(context.nowNanos());
    }

    private int recentRejections(EndpointState endpoint) {
        ArrayDeque<Long> times = rejectionNanos.get(endpoint.listed().incarnation());
        if (times == null) {
            return 0;
        }
        while (!times.isEmpty() && context.nowNanos() - times.peek() >= WINDOW.toNanos()) {
            times.remove();
        }
        return times.size();
    }
}
