package org.yuccagw.core.pacing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.id.EntryId;

/**
 * The running streams of one engine and the prefill that interrupts them.
 *
 * <p>An engine generates one token for each stream between two chunks of a prefill, and an event holds several tokens.
 * A prefill therefore slows every running stream, and prefills without a break between them add up. Such a sequence
 * is a <em>busy period</em>. A stream is interrupted by the part of a period that follows its own prefill.
 *
 * <p>Each busy period interrupts a stream once. Whether the stream pauses too long in it is independent of the other
 * periods, since engines are slow at some times and not at others.
 *
 * <p>Invariant: the interruptions of a stream together are never longer than the prefill placed after it.
 *
 * <p>Example: a stream runs when prompts of 130 ms and, 100 ms later, of 90 ms are placed on its engine. The second
 * continues the busy period, so the stream is interrupted for 220 ms. A third prompt half a second later starts a new
 * period and is a second interruption.
 */
public final class EngineStreams {
    /** About the time of one event while nothing is prefilled; a shorter break doesn't complete an event. */
    private static final Duration MIN_BREAK = Duration.ofMillis(40);

    /** Periods of this time predict those of the next seconds, which is how long a stream runs. */
    static final Duration HISTORY = Duration.ofSeconds(3);

    private static final double NANOS_PER_MILLI = 1e6;

    private static final double[] NO_INTERRUPTIONS = {};

    private final Map<Long, Stream> streams = new HashMap<>();
    private final Map<EntryId, RecentPrefill> reports = new HashMap<>();
    private final ArrayDeque<Period> ended = new ArrayDeque<>();
    private double totalMillis;
    private double periodMillis;
    private long periodNumber;
    private long busyUntilNanos = Long.MIN_VALUE;

    private record Period(long endNanos, double millis) {}

    /** A stream and its interruptions, the last of which may still continue. */
    private static final class Stream {
        private final double maxGapMillis;
        private final double weight;
        private final double totalMillisBefore;
        private final List<Double> interruptionMillis = new ArrayList<>();
        private long lastPeriod;

        private Stream(Duration maxGap, double weight, double totalMillisBefore, long currentPeriod) {
            this.maxGapMillis = maxGap.toMillis();
            this.weight = weight;
            this.totalMillisBefore = totalMillisBefore;
            this.lastPeriod = currentPeriod;
        }

        /** Returns the part of a busy period that follows the stream's own prefill, in milliseconds. */
        private double interruptionMillis(double period, double total) {
            return Math.min(period, total - totalMillisBefore);
        }

        /** Returns the interruption by the period so far, in milliseconds. */
        private double millisIn(long period) {
            boolean interrupted = period == lastPeriod && !interruptionMillis.isEmpty();
            return interrupted ? interruptionMillis.get(interruptionMillis.size() - 1) : 0;
        }

        private void interrupt(long period, double millis) {
            if (period == lastPeriod && !interruptionMillis.isEmpty()) {
                interruptionMillis.set(interruptionMillis.size() - 1, millis);
            } else {
                interruptionMillis.add(millis);
            }
            lastPeriod = period;
        }

        private double[] interruptions() {
            return interruptionMillis.stream()
                    .mapToDouble(millis -> millis / maxGapMillis)
                    .toArray();
        }
    }

    private EngineStreams() {}

    /** Creates the state of an engine that runs nothing. */
    public static EngineStreams create() {
        return new EngineStreams();
    }

    /**
     * Records that a prompt was placed.
     *
     * @param ticket identifies its placement
     * @param prefillMillis predicted time of its prefill
     * @param maxGap longest pause that its route allows
     * @param weight how much a pause beyond that counts
     */
    public void add(long ticket, double prefillMillis, Duration maxGap, double weight, long nowNanos) {
        extendPeriod(prefillMillis, nowNanos);
        for (Stream stream : streams.values()) {
            stream.interrupt(periodNumber, stream.interruptionMillis(periodMillis, totalMillis));
        }
        streams.put(ticket, new Stream(maxGap, weight, totalMillis, periodNumber));
    }

    /** Records that the engine has nothing left to prefill. */
    public void recordIdle(long nowNanos) {
        if (busyUntilNanos != Long.MIN_VALUE && busyUntilNanos - nowNanos > 0) {
            busyUntilNanos = nowNanos;
        }
    }

    /**
     * Records that a prompt has ended.
     *
     * @return the interruptions of its stream as multiples of the allowed pause; empty if there were none
     */
    public double[] remove(long ticket) {
        Stream stream = streams.remove(ticket);
        return stream == null ? NO_INTERRUPTIONS : stream.interruptions();
    }

    /** Replaces what another entry reported of the prefill that it placed here. */
    public void replaceReport(EntryId entry, RecentPrefill report) {
        if (report.totalMillis() == 0) {
            reports.remove(entry);
        } else {
            reports.put(entry, report);
        }
    }

    /** Returns the prefill that this entry placed here recently. */
    public RecentPrefill recent(long nowNanos) {
        removeOld(nowNanos);
        double total = recentPeriodMillis(nowNanos);
        double longest = total;
        for (Period period : ended) {
            total += period.millis;
            longest = Math.max(longest, period.millis);
        }
        return new RecentPrefill((int) Math.ceil(total), (int) Math.ceil(longest));
    }

    /** Returns the share of the last seconds that the engine needs for its prefill, of this entry and of others. */
    public double prefillShare(long nowNanos) {
        double millis = recent(nowNanos).totalMillis();
        for (RecentPrefill report : reports.values()) {
            millis += report.totalMillis();
        }
        return millis / HISTORY.toMillis();
    }

    /**
     * Returns the expected number of running streams, by their weights, that pause too long if a prompt is placed now
     * and wouldn't otherwise.
     *
     * @param prefillMillis predicted time of its prefill
     * @param peerStreams number of streams that other entries placed here
     * @param maxGap longest pause that their routes are assumed to allow
     */
    public double harm(double prefillMillis, int peerStreams, Duration maxGap, PauseRisk risk, long nowNanos) {
        double period = currentPeriodMillis(nowNanos) + prefillMillis;
        double total = totalMillis + prefillMillis;
        double harm = peerStreams * risk.of(prefillMillis / maxGap.toMillis());
        boolean continues = currentPeriodMillis(nowNanos) > 0;
        for (Stream stream : streams.values()) {
            double before = continues ? stream.millisIn(periodNumber) : 0;
            double after = stream.interruptionMillis(period, total);
            harm += stream.weight * (risk.of(after / stream.maxGapMillis) - risk.of(before / stream.maxGapMillis));
        }
        return harm;
    }

    /**
     * Returns the rate per second at which a stream that runs here pauses too long, by the busy periods of the last
     * seconds.
     */
    public double pausesPerSecond(Duration maxGap, PauseRisk risk, long nowNanos) {
        removeOld(nowNanos);
        double expected = risk.of(recentPeriodMillis(nowNanos) / maxGap.toMillis());
        for (Period period : ended) {
            expected += risk.of(period.millis / maxGap.toMillis());
        }
        for (RecentPrefill report : reports.values()) {
            expected += report.periods() * risk.of((double) report.longestMillis() / maxGap.toMillis());
        }
        return expected * 1_000 / HISTORY.toMillis();
    }

    private void extendPeriod(double prefillMillis, long nowNanos) {
        double current = currentPeriodMillis(nowNanos);
        if (current == 0 && periodMillis > 0) {
            ended.add(new Period(busyUntilNanos, periodMillis));
            removeOld(nowNanos);
        }
        periodNumber += current == 0 ? 1 : 0;
        periodMillis = current + prefillMillis;
        totalMillis += prefillMillis;
        boolean busy = current > 0 && busyUntilNanos - nowNanos > 0;
        busyUntilNanos = (busy ? busyUntilNanos : nowNanos) + (long) (prefillMillis * NANOS_PER_MILLI);
    }

    /** Returns the length of the busy period that a prefill placed now would continue; 0 if it would start one. */
    private double currentPeriodMillis(long nowNanos) {
        boolean continues = busyUntilNanos != Long.MIN_VALUE && nowNanos - busyUntilNanos < MIN_BREAK.toNanos();
        return continues ? periodMillis : 0;
    }

    /** Returns the length of the latest busy period; 0 if it ended long ago. */
    private double recentPeriodMillis(long nowNanos) {
        boolean recent = busyUntilNanos != Long.MIN_VALUE && nowNanos - busyUntilNanos < HISTORY.toNanos();
        return recent ? periodMillis : 0;
    }

    private void removeOld(long nowNanos) {
        while (!ended.isEmpty() && nowNanos - ended.peek().endNanos() > HISTORY.toNanos()) {
            ended.remove();
        }
    }
}
