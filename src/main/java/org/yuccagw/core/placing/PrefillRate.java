package org.yuccagw.core.placing;

import java.util.OptionalDouble;

/**
 * Estimates how many prompt tokens an engine prefills per millisecond, from prompts that found its prefill queue empty.
 *
 * <p>The rate isn't configured, and it differs between deployments. A sample is the number of prefilled tokens divided
 * by the time until the answer started. It is too low whenever something else delayed the answer, such as a request of
 * another entry that was unknown here. A higher sample therefore has a large weight and a lower one a small weight.
 *
 * <p>Example: engines prefill 66 tokens per millisecond. After ten prompts, three of them delayed, the estimate is
 * about 60.
 */
final class PrefillRate {
    /** Used before the first sample. Typical of a large model on present accelerators. */
    private static final double INITIAL_TOKENS_PER_MILLI = 50;

    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 2_000;

    /** Weights of one sample. Under load, delayed samples are as frequent as others and must not lower the estimate. */
    private static final double HIGHER_SAMPLE_WEIGHT = 0.2;

    private static final double LOWER_SAMPLE_WEIGHT = 0.02;

    /** Shorter prefills measure the network round trip rather than the engine. */
    private static final int MIN_SAMPLE_TOKENS = 2_000;

    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    double millisFor(double tokens) {
        return tokens / tokensPerMilli;
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }

    /**
     * Updates the estimate when an answer starts.
     *
     * @param prefillTokens number of tokens that were prefilled
     * @param millis time from sending the prompt to the first byte, without the part that isn't prefill, in
     *     milliseconds
     * @return the sample in tokens per millisecond; empty if it says nothing of the engine
     */
    OptionalDouble addSample(int prefillTokens, double millis) {
        if (prefillTokens < MIN_SAMPLE_TOKENS || millis <= 0) {
            return OptionalDouble.empty();
        }
        double sample = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, prefillTokens / millis));
        double weight = sample > tokensPerMilli ? HIGHER_SAMPLE_WEIGHT : LOWER_SAMPLE_WEIGHT;
        tokensPerMilli += weight * (sample - tokensPerMilli);
        return OptionalDouble.of(sample);
    }
}
