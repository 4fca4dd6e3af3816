package org.yuccagw.core.placing;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.yuccagw.core.id.ServiceName;

/**
 * Requests that wait at this entry for an endpoint, in the order in which they get one.
 *
 * <p>First those that can still begin in time, then the late ones; within each, the more urgent first, then by the time
 * at which they have to begin. So under more load than can be carried some are late by much and most not at all, where
 * an order by arrival makes every one late.
 *
 * <p>A request waits only as long as its caller does, less the time to answer it. After that it is refused as not run.
 */
final class WaitingRequests {
    /** Callers give up a stream that hasn't begun after the longest of these, as the platform tells. */
    private static final Duration LEAST_CALLER_PATIENCE = Duration.ofSeconds(2);

    private static final int TARGETS_OF_CALLER_PATIENCE = 4;
    private static final int GAPS_OF_CALLER_PATIENCE = 8;

    /** Part of the caller's patience that a prompt may wait here; the rest is for the engine. */
    private static final double SHARE_OF_CALLER_PATIENCE = 0.55;

    /** Part of the time left that any request may wait. */
    private static final double SHARE_OF_LEFT = 0.5;

    /**
     * Requests of plain services: a wait costs the caller, a refusal costs it a round and a new connection, about as
     * much as this.
     */
    private static final Duration LONGEST_PLAIN_WAIT = Duration.ofMillis(250);

    private static final double PLAIN_SHARE_OF_LEFT = 0.12;

    private final List<Waiting> waiting = new ArrayList<>();

    /** A request and when it began to wait. */
    record Waiting(PlacementRequest asked, Rank rank, long sinceNanos, long untilNanos) {
        long waitedMillis(long nowNanos) {
            return (nowNanos - sinceNanos) / 1_000_000;
        }

        /** Milliseconds until its answer has to begin; negative for a late one. */
        long untilTargetMillis(long nowNanos) {
            return asked.route().target().toMillis() - waitedMillis(nowNanos);
        }

        boolean isLate(long nowNanos) {
            return untilTargetMillis(nowNanos) < FirstToken.START_MILLIS;
        }
    }

    static Waiting of(PlacementRequest asked, long nowNanos) {
        return new Waiting(
                asked, Rank.of(asked), nowNanos, nowNanos + longestWait(asked).toNanos());
    }

    private static Duration longestWait(PlacementRequest asked) {
        if (asked.prompt().isEmpty()) {
            Duration share = Duration.ofMillis((long) (asked.leftMillis() * PLAIN_SHARE_OF_LEFT));
            return Comparators.min(LONGEST_PLAIN_WAIT, share);
        }
        Duration byTarget = asked.route().target().multipliedBy(TARGETS_OF_CALLER_PATIENCE);
        Duration byGap = asked.route().maxGap().multipliedBy(GAPS_OF_CALLER_PATIENCE);
        Duration patience = Comparators.max(LEAST_CALLER_PATIENCE, Comparators.max(byTarget, byGap));
        double millis = Math.min(patience.toMillis() * SHARE_OF_CALLER_PATIENCE, asked.leftMillis() * SHARE_OF_LEFT);
        return Duration.ofMillis((long) millis);
    }

    void add(Waiting request) {
        waiting.add(request);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** How many for the service wait and come before a request of this rank. */
    int countBefore(Rank rank, ServiceName service) {
        return (int) waiting.stream()
                .filter(other -> other.asked().service().equals(service))
                .filter(other -> other.rank().compareTo(rank) <= 0)
                .count();
    }

    /** Prompt tokens of those that wait and come before a request of this rank that can still be in time. */
    long tokensBefore(Rank rank, long nowNanos) {
        return waiting.stream()
                .filter(other -> other.rank().compareTo(rank) <= 0 && !other.isLate(nowNanos))
                .flatMap(other -> other.asked().prompt().stream())
                .mapToLong(prompt -> prompt.promptTokens())
                .sum();
    }

    /**
     * Offers each waiting request in order.
     *
     * @param place whether the request is done with: placed or refused
     * @param expired takes those whose wait is over
     */
    void offerAll(long nowNanos, Predicate<Waiting> place, Consumer<Waiting> expired) {
        waiting.sort(Comparator.comparing((Waiting each) -> each.isLate(nowNanos))
                .thenComparing(Waiting::rank)
                .thenComparingLong(each -> each.untilTargetMillis(nowNanos)));
        for (Iterator<Waiting> each = waiting.iterator(); each.hasNext(); ) {
            Waiting next = each.next();
            if (place.test(next)) {
                each.remove();
            } else if (nowNanos - next.untilNanos() >= 0) {
                each.remove();
                expired.accept(next);
            }
        }
    }
}
