package org.yuccagw.core.pacing;

import java.time.Duration;

/**
 * What is known of the streams of one service: how often an interruption makes one pause too long, and how fast tokens
 * are generated.
 *
 * <p>The cost of a placement, in milliseconds of a caller's time, consists of the streams that it makes pause too long
 * and of the probability that the placed stream itself does, by the recent prefill on the engine.
 *
 * <p>Example: an engine runs six streams that have not been interrupted yet. A prompt with a prefill of 130 ms makes
 * each pause too long with a probability of 0.1, so it costs 600 ms there, and it is placed on an engine without
 * streams although that one has to prefill more of it.
 */
public final class ServicePacing {
    /** An answer that pauses too long is as late as one whose first token is a second late. */
    private static final double LATE_MILLIS = 1_000;

    /** Typical of a large model while nothing is prefilled. Replaced by what answers show. */
    private static final double INITIAL_TOKEN_MILLIS = 7;

    private static final double TOKEN_SAMPLE_WEIGHT = 0.02;

    /** Answers of fewer tokens end after one or two events. */
    private static final int MIN_SAMPLE_TOKENS = 30;

    /** Half of the pause that a route allows. */
    private static final double REPORTED_INTERRUPTION = 0.5;

    private static final double NOTICEABLE_CHANGE = 0.05;

    private final PauseRisk risk = PauseRisk.create();
    private double reportedRisk;
    private double tokenMillis = INITIAL_TOKEN_MILLIS;

    private ServicePacing() {}

    /** Creates the state of a service of which no answers are known. */
    public static ServicePacing create() {
        return new ServicePacing();
    }

    /**
     * Returns the cost of placing a prompt on an engine, in milliseconds of a caller's time.
     *
     * @param peerStreams number of streams that other entries placed on the engine
     * @param prefillMillis predicted time of its prefill
     * @param answerTokens expected tokens of its answer
     * @param maxGap longest pause that its route allows
     * @param weight how much its own pause counts
     */
    public double cost(
            EngineStreams engine,
            int peerStreams,
            double prefillMillis,
            int answerTokens,
            Duration maxGap,
            double weight,
            long nowNanos) {
        double harm = engine.harm(prefillMillis, peerStreams, maxGap, risk, nowNanos);
        double seconds = answerTokens * tokenMillis / 1_000;
        double exposure = 1 - Math.exp(-engine.pausesPerSecond(maxGap, risk, nowNanos) * seconds);
        return LATE_MILLIS * (harm + weight * exposure);
    }

    /**
     * Learns from a stream that has ended.
     *
     * @param interruptions those that it met, as multiples of the pause that its route allows
     * @param pausedTooLong whether it paused for longer than that
     */
    public void learnPause(double[] interruptions, boolean pausedTooLong) {
        risk.learn(interruptions, pausedTooLong);
    }

    /** Learns the time of a token from an answer of about so many tokens. */
    public void learnTokenTime(int answerTokens, double streamMillis) {
        if (answerTokens >= MIN_SAMPLE_TOKENS) {
            tokenMillis += TOKEN_SAMPLE_WEIGHT * (streamMillis / answerTokens - tokenMillis);
        }
    }

    /** Returns the time in which an engine generates a token, in milliseconds. */
    public double tokenMillis() {
        return tokenMillis;
    }

    /** Returns whether the risk has changed noticeably since this method last returned true. */
    public boolean hasChangedSinceReport() {
        double present = risk.of(REPORTED_INTERRUPTION);
        boolean changed = Math.abs(present - reportedRisk) >= NOTICEABLE_CHANGE;
        if (changed) {
            reportedRisk = present;
        }
        return changed;
    }

    /** Returns the probability that an interruption makes a stream pause too long. */
    public double riskOf(double interruption) {
        return risk.of(interruption);
    }
}
