package org.yuccagw.core.placing;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.fairness.FairShares;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Requests that wait at this entry for an endpoint, in the order in which they are placed.
 *
 * <p>Requests that can still start in time precede late ones. Within each group the order is by priority. Requests of
 * one priority share the capacity fairly between workspaces, and those of one workspace are ordered by the time at
 * which the answer has to start; callers that return at the time that they were told come first. Under overload some
 * requests are therefore very late and most are in time, whereas an order by arrival makes every request late, and a
 * workspace that sends ten times its share waits behind its own requests.
 *
 * <p>A request waits at most as long as its caller does, minus the time for the answer. After that it is refused as not
 * run.
 */
final class RequestQueue {
    /**
     * According to the platform, callers abandon a stream that hasn't started after the longest of these three times.
     */
    private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

    private static final int TARGETS_PER_CALLER_TIMEOUT = 4;
    private static final int GAPS_PER_CALLER_TIMEOUT = 8;

    /** Share of the caller's timeout that a prompt may wait here. The rest is left to the engine. */
    private static final double CALLER_TIMEOUT_SHARE = 0.55;

    /** Share of the time left that any request may wait. */
    private static final double TIME_LEFT_SHARE = 0.5;

    /**
     * Longest wait for plain services. Waiting costs the caller time; a refusal costs it a round trip and a new
     * connection, which take about as long as this.
     */
    private static final Duration MAX_PLAIN_WAIT = Duration.ofMillis(250);

    private static final double PLAIN_TIME_LEFT_SHARE = 0.12;

    /**
     * Once so many similar requests of higher precedence found no capacity, the others find none either. Bounds the
     * processor time of a check while hundreds wait.
     */
    private static final int MAX_FAILED_OFFERS = 8;

    private final List<QueuedRequest> queue = new ArrayList<>();
    private final Map<Competition, FairShares<Optional<WorkspaceId>>> shares = new HashMap<>();

    /** Requests of about the same size that may go to the same endpoints, to the next lower power of two. */
    private record OfferGroup(
            ServiceName service, PermittedRegions regions, Optional<SoftwareVersion> software, int tokens) {
        static OfferGroup of(PlacementRequest request) {
            int tokens = request.prompt().map(PromptShape::totalTokens).orElse(0);
            return new OfferGroup(
                    request.service(),
                    request.permittedRegions(),
                    request.continuation().software(),
                    Integer.highestOneBit(tokens));
        }
    }

    /** The requests that compete for the same capacity with the same priority. */
    private record Competition(ServiceName service, RequestPriority priority) {
        static Competition of(QueuedRequest queued) {
            return new Competition(queued.request().service(), queued.priority());
        }
    }

    /**
     * A request in the queue.
     *
     * <p>It is late once its target has passed, and also once the fastest engine can't start its answer in time: to be
     * late by a little earns the caller no more than to be late by a second, while the request that takes its turn may
     * still be in time.
     */
    static final class QueuedRequest {
        private final PlacementRequest request;
        private final RequestPriority priority;
        private final long queuedNanos;
        private final long untilNanos;
        private boolean missesTarget;
        private boolean returned;
        private double startTag;

        private QueuedRequest(PlacementRequest request, RequestPriority priority, long queuedNanos, long untilNanos) {
            this.request = request;
            this.priority = priority;
            this.queuedNanos = queuedNanos;
            this.untilNanos = untilNanos;
        }

        PlacementRequest request() {
            return request;
        }

        RequestPriority priority() {
            return priority;
        }

        /** Returns the time at which its wait expires. */
        long untilNanos() {
            return untilNanos;
        }

        /** Returns the longest time that it may wait, in milliseconds. */
        long maxWaitMillis() {
            return (untilNanos - queuedNanos) / 1_000_000;
        }

        long waitedMillis(long nowNanos) {
            return (nowNanos - queuedNanos) / 1_000_000;
        }

        /** Returns the milliseconds until the answer has to start; negative if the request is late. */
        long untilTargetMillis(long nowNanos) {
            return request.route().target().toMillis() - waitedMillis(nowNanos);
        }

        /** Records that the caller was refused before and returns at the time that it was told. */
        void markReturned() {
            returned = true;
        }

        boolean isReturned() {
            return returned;
        }

        /** Returns what it uses of the capacity of its service: prompt tokens, or one for a plain call. */
        double cost() {
            return request.prompt().map(prompt -> (double) prompt.totalTokens()).orElse(1.0);
        }

        long promptTokens() {
            return request.prompt().map(PromptShape::promptTokens).orElse(0);
        }

        Optional<WorkspaceId> workspace() {
            return request.workspace().map(WorkspaceAccess::id);
        }

        /** Records that no engine could start the answer in time if the request was placed now. */
        void markMissesTarget() {
            missesTarget = true;
        }

        boolean isLate(long nowNanos) {
            return missesTarget || untilTargetMillis(nowNanos) < FirstTokenEstimate.START_MILLIS;
        }
    }

    static QueuedRequest of(PlacementRequest request, long nowNanos) {
        return new QueuedRequest(
                request,
                RequestPriority.of(request),
                nowNanos,
                nowNanos + maxWait(request).toNanos());
    }

    private static Duration maxWait(PlacementRequest request) {
        if (request.prompt().isEmpty()) {
            Duration share = Duration.ofMillis((long) (request.leftMillis() * PLAIN_TIME_LEFT_SHARE));
            return Comparators.min(MAX_PLAIN_WAIT, share);
        }
        Duration timeoutByTarget = request.route().target().multipliedBy(TARGETS_PER_CALLER_TIMEOUT);
        Duration timeoutByGap = request.route().maxGap().multipliedBy(GAPS_PER_CALLER_TIMEOUT);
        Duration callerTimeout = Comparators.max(MIN_CALLER_TIMEOUT, Comparators.max(timeoutByTarget, timeoutByGap));
        double millis =
                Math.min(callerTimeout.toMillis() * CALLER_TIMEOUT_SHARE, request.leftMillis() * TIME_LEFT_SHARE);
        return Duration.ofMillis((long) millis);
    }

    void add(QueuedRequest request) {
        queue.add(request);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** Returns the number of queued requests for the service that precede a request of this priority. */
    int countBefore(RequestPriority priority, ServiceName service) {
        return (int) queue.stream()
                .filter(other -> other.request().service().equals(service))
                .filter(other -> other.priority().compareTo(priority) <= 0)
                .count();
    }

    /**
     * Returns the prompt tokens of the queued requests for the service that can still start in time and would be placed
     * before one that arrives now: all of higher priority and of its own workspace, and of each other workspace with
     * the same priority as many as its own has, since workspaces take turns.
     */
    long tokensBefore(QueuedRequest arrived, long nowNanos) {
        long precedingTokens = 0;
        Map<Optional<WorkspaceId>, Long> competing = new HashMap<>();
        for (QueuedRequest each : queue) {
            if (each.isLate(nowNanos)
                    || !each.request().service().equals(arrived.request().service())) {
                continue;
            }
            int order = each.priority().compareTo(arrived.priority());
            if (order < 0) {
                precedingTokens += each.promptTokens();
            } else if (order == 0) {
                competing.merge(each.workspace(), each.promptTokens(), Long::sum);
            }
        }
        long own = competing.getOrDefault(arrived.workspace(), 0L);
        competing.remove(arrived.workspace());
        long others = competing.values().stream()
                .mapToLong(tokens -> Math.min(tokens, own + arrived.promptTokens()))
                .sum();
        return precedingTokens + own + others;
    }

    /** Returns the prompts that can still start in time, for the heartbeat of this entry. */
    ImmutableList<PeerStatus.Queued> report(long nowNanos) {
        Map<Competition, Long> tokens = new HashMap<>();
        for (QueuedRequest each : queue) {
            if (!each.isLate(nowNanos) && each.request().prompt().isPresent()) {
                tokens.merge(Competition.of(each), each.promptTokens(), Long::sum);
            }
        }
        return tokens.entrySet().stream()
                .map(each -> new PeerStatus.Queued(
                        each.getKey().service(), each.getKey().priority().urgency(), each.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether a queued request precedes a new one, so that it has to be offered first. */
    boolean precedes(QueuedRequest arrived) {
        return queue.stream()
                .anyMatch(other -> competes(other.request(), arrived.request())
                        && other.priority().compareTo(arrived.priority()) <= 0);
    }

    /** Returns whether a queued request waits for endpoints among those that another one may use. */
    private static boolean competes(PlacementRequest queued, PlacementRequest arrived) {
        Optional<SoftwareVersion> software = queued.continuation().software();
        boolean waitsForSome =
                software.isPresent() && !software.equals(arrived.continuation().software());
        return queued.service().equals(arrived.service()) && !waitsForSome;
    }

    /** Records that a request was placed, queued before or not, so that its workspace has used this of its share. */
    void recordPlaced(QueuedRequest placed) {
        FairShares<Optional<WorkspaceId>> competing = sharesOf(placed);
        competing.catchUp(placed.workspace());
        competing.serve(placed.workspace(), placed.cost());
        if (queue.isEmpty()) {
            shares.values().forEach(each -> each.removeIdle(workspace -> false));
        }
    }

    private FairShares<Optional<WorkspaceId>> sharesOf(QueuedRequest queued) {
        return shares.computeIfAbsent(Competition.of(queued), key -> FairShares.create());
    }

    /**
     * Offers each queued request in order.
     *
     * @param place returns whether the request has been placed or refused
     * @param expired receives the requests whose wait has expired
     */
    void offerAll(long nowNanos, Predicate<QueuedRequest> place, Consumer<QueuedRequest> expired) {
        sort(nowNanos);
        Map<OfferGroup, Integer> failures = new HashMap<>();
        for (Iterator<QueuedRequest> each = queue.iterator(); each.hasNext(); ) {
            QueuedRequest next = each.next();
            OfferGroup group = OfferGroup.of(next.request());
            boolean offered = failures.getOrDefault(group, 0) < MAX_FAILED_OFFERS;
            if (offered && place.test(next)) {
                each.remove();
            } else if (nowNanos - next.untilNanos() >= 0) {
                each.remove();
                expired.accept(next);
            } else if (offered) {
                failures.merge(group, 1, Integer::sum);
            }
        }
    }

    /** Sorts the queue by target first, then gives each request its start tag in this order, then sorts by tags. */
    private void sort(long nowNanos) {
        Comparator<QueuedRequest> byGroup = Comparator.comparing((QueuedRequest each) -> each.isLate(nowNanos))
                .thenComparing(QueuedRequest::priority)
                .thenComparing(each -> !each.isReturned());
        queue.sort(byGroup.thenComparingLong(each -> each.untilTargetMillis(nowNanos)));
        Map<Competition, Map<Optional<WorkspaceId>, Double>> nextTags = new HashMap<>();
        for (QueuedRequest each : queue) {
            FairShares<Optional<WorkspaceId>> competing = sharesOf(each);
            Map<Optional<WorkspaceId>, Double> tags =
                    nextTags.computeIfAbsent(Competition.of(each), key -> new HashMap<>());
            each.startTag = tags.getOrDefault(each.workspace(), competing.startTag(each.workspace()));
            tags.put(each.workspace(), each.startTag + each.cost());
        }
        queue.sort(byGroup.thenComparingDouble(each -> each.startTag)
                .thenComparingLong(each -> each.untilTargetMillis(nowNanos)));
    }
}
