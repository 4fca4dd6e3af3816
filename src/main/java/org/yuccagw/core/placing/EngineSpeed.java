package org.yuccagw.core.placing;

/**
 * The prefill speed of one engine relative to the fastest ones of its service.
 *
 * <p>Engines of a service differ, by a third where they run on other accelerators. A sample is too low whenever
 * something else delayed the answer, so the fastest of the last {@link #SAMPLES} samples counts, and none before there
 * are as many. Small differences are ignored, since the fastest sample of a service is a matter of luck too.
 *
 * <p>Example: two of three engines prefill 50 tokens per millisecond and the third 38. Once eight answers have shown
 * it, prompts are predicted to take 1.16 times as long on the third.
 */
final class EngineSpeed {
    private static final int SAMPLES = 8;
    private static final double NEGLIGIBLE_DIFFERENCE = 0.1;

    private final double[] samples = new double[SAMPLES];
    private int count;

    /** Learns from a sample, in tokens per millisecond. */
    void addSample(double tokensPerMilli) {
        samples[count % SAMPLES] = tokensPerMilli;
        count++;
    }

    /** Returns the predicted time of a prefill. The rate of the service is that of its fastest engines. */
    double millisFor(double tokens, PrefillRate ofService) {
        double relative = count < SAMPLES ? 1 : fastest() / ofService.tokensPerMilli();
        return ofService.millisFor(tokens) / Math.min(1, relative + NEGLIGIBLE_DIFFERENCE);
    }

    private double fastest() {
        double fastest = 0;
        for (double sample : samples) {
            fastest = Math.max(fastest, sample);
        }
        return fastest;
    }
}
