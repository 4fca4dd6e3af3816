package org.yuccagw.core.pacing;

/**
 * The probability that a stream pauses for longer than its route allows, by the prefill that interrupts it without a
 * break. It is learned from answers that have ended, so that slow engines, large chunks and events of several tokens
 * need no settings.
 *
 * <p>The <em>interruption</em> of a stream is the time of the prefill without a break, divided by the pause that the
 * route allows. Probabilities are kept for interruptions from 0 to {@link #MAX_INTERRUPTION} at equal distances, and a
 * sample adjusts the nearest one. Between them the probability is interpolated.
 *
 * <p>Invariants: a probability lies between 0 and 1, and a longer interruption never has a lower one.
 *
 * <p>Example: a route allows 400 ms between events and an engine prefills 6,000 tokens in 130 ms, an interruption of
 * 0.33. If 14 of 100 streams that met such an interruption paused for too long, the probability approaches 0.14.
 */
public final class PauseRisk {
    /** Longer interruptions count like this one. */
    private static final double MAX_INTERRUPTION = 1.5;

    private static final int STEPS = 12;
    private static final double STEP = MAX_INTERRUPTION / STEPS;

    /** About 35 samples carry half of the weight: at most some seconds of traffic. */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    /** The first samples weigh as much as so many that showed no pause. */
    private static final int INITIAL_SAMPLES = 8;

    private final double[] probabilities = new double[STEPS + 1];
    private final int[] samples = new int[STEPS + 1];

    private PauseRisk() {}

    /** Creates the estimate of a service of which no answers are known: no risk until an answer pauses too long. */
    public static PauseRisk create() {
        return new PauseRisk();
    }

    /**
     * Returns the probability for an interruption.
     *
     * @param interruption time of the prefill as a multiple of the allowed pause
     */
    public double of(double interruption) {
        double position = Math.max(0, Math.min(interruption, MAX_INTERRUPTION)) / STEP;
        int lower = Math.min(STEPS - 1, (int) position);
        double share = position - lower;
        return probabilities[lower] * (1 - share) + probabilities[lower + 1] * share;
    }

    /**
     * Learns from an answer that has ended.
     *
     * <p>If it paused too long, one of its interruptions is the cause, and each is blamed in proportion to its present
     * probability; the longest alone while none has any.
     *
     * @param interruptions those that it met, as multiples of the allowed pause
     * @param pausedTooLong whether it paused for longer than its route allows
     */
    public void learn(double[] interruptions, boolean pausedTooLong) {
        double[] blame = new double[interruptions.length];
        if (pausedTooLong && interruptions.length > 0) {
            divideBlame(interruptions, blame);
        }
        for (int index = 0; index < interruptions.length; index++) {
            learn(interruptions[index], blame[index]);
        }
    }

    private void divideBlame(double[] interruptions, double[] blame) {
        double sum = 0;
        int longest = 0;
        for (int index = 0; index < interruptions.length; index++) {
            sum += of(interruptions[index]);
            longest = interruptions[index] > interruptions[longest] ? index : longest;
        }
        for (int index = 0; index < interruptions.length; index++) {
            blame[index] = sum > 0 ? of(interruptions[index]) / sum : 0;
        }
        if (sum == 0) {
            blame[longest] = 1;
        }
    }

    private void learn(double interruption, double blame) {
        double position = Math.max(0, Math.min(interruption, MAX_INTERRUPTION)) / STEP;
        int nearest = (int) Math.round(position);
        samples[nearest]++;
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (INITIAL_SAMPLES + samples[nearest]));
        probabilities[nearest] += weight * (blame - probabilities[nearest]);
        keepAscending(nearest);
    }

    private void keepAscending(int changed) {
        for (int index = changed - 1; index >= 0; index--) {
            probabilities[index] = Math.min(probabilities[index], probabilities[index + 1]);
        }
        for (int index = changed + 1; index <= STEPS; index++) {
            probabilities[index] = Math.max(probabilities[index], probabilities[index - 1]);
        }
    }
}
