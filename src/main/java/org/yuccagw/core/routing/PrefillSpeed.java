package org.yuccagw.core.routing;

/**
 * An estimate of the prefill speed in tokens/ms, learned from times to first tokens.
 *
 * <p>The estimate of one endpoint is shrunk towards the estimate over all endpoints until the endpoint has enough
 * samples of its own. Otherwise the first endpoint that happened to answer quickly would be preferred permanently, and
 * the others would receive no requests from which their speed could be learned.
 */
final class PrefillSpeed {
    private static final double INITIAL_TOKENS_PER_MILLI = 8;
    private static final double MIN_TOKENS_PER_MILLI = 0.05;
    private static final double MAX_TOKENS_PER_MILLI = 10_000;
    private static final double SAMPLES_FOR_HALF_WEIGHT = 8;
    private static final double MIN_LEARNING_RATE = 0.02;

    private final PrefillSpeed prior;
    private double logTokensPerMilli = Math.log(INITIAL_TOKENS_PER_MILLI);
    private double samples;

    private PrefillSpeed(PrefillSpeed prior) {
        this.prior = prior;
    }

    /** Returns an estimate over all endpoints, without a prior. */
    static PrefillSpeed overall() {
        return new PrefillSpeed(null);
    }

    /** Returns an estimate for one endpoint with the estimate over all endpoints as its prior. */
    static PrefillSpeed withPrior(PrefillSpeed prior) {
        return new PrefillSpeed(prior);
    }

    double tokensPerMilli() {
        return Math.exp(estimate());
    }

    void learn(double tokensPerMilli) {
        double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, tokensPerMilli));
        samples++;
        logTokensPerMilli += Math.max(MIN_LEARNING_RATE, 1 / samples) * (Math.log(bounded) - logTokensPerMilli);
        if (prior != null) {
            prior.learn(tokensPerMilli);
        }
    }

    private double estimate() {
        if (prior == null) {
            return logTokensPerMilli;
        }
        double ownWeight = samples / (samples + SAMPLES_FOR_HALF_WEIGHT);
        return ownWeight * logTokensPerMilli + (1 - ownWeight) * prior.logTokensPerMilli;
    }
}
