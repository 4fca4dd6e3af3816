package org.yuccagw.core.placing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.prompt.PromptPart;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Computes the cost of running a request on an endpoint, in milliseconds of a caller's time. The endpoint of lowest
 * cost is selected.
 *
 * <p>The cost of a prompt consists of the predicted time to the first token, a price for tokens that are computed again
 * or fetched, and a price for crossing failure domains. Prompts of one session prefer the same endpoint, which is
 * selected by rendezvous hashing over the usable endpoints of the failure domain, so that its entries agree without
 * communication.
 *
 * <p>Example: a prompt has 7,520 shared tokens. On an idle engine that holds them, they add nothing to the cost; on an
 * engine that fetches them within its failure domain they add about 150, and on one that computes them about 880.
 */
final class EndpointScoring {
    /**
     * Milliseconds for each shared token that is computed again, in addition to the time that this takes. The
     * computation also occupies the engine, and recomputed tokens have the largest weight for the operators.
     */
    private static final double RECOMPUTE_MILLIS_PER_TOKEN = 0.1;

    /** A fetched token uses link capacity in addition to the time that it takes. */
    private static final double FETCH_MILLIS_PER_TOKEN = 0.012;

    /**
     * According to the operators' data sheet, a running request slows each step of the others by 0.03 ms, for some
     * fifty steps.
     */
    private static final double RUNNING_PROMPT_MILLIS = 1.5;

    /** The heads of a request and its answer that cross failure domains. */
    private static final double CROSS_DOMAIN_PROMPT_MILLIS = 20;

    /**
     * Bytes between failure domains are expensive, and a prompt's body grows with its tokens by about a byte for each,
     * so that a long one costs 4 % of its answer. The price is twice that of fetching all its shared parts, since
     * prompts would otherwise follow these parts into other failure domains.
     */
    private static final double CROSS_DOMAIN_MILLIS_PER_PROMPT_TOKEN = 0.025;

    /** The bytes of an answer's events. */
    private static final double CROSS_DOMAIN_MILLIS_PER_ANSWER_TOKEN = 0.2;

    private static final double CROSS_DOMAIN_PLAIN_CALL_MILLIS = 15;

    /** Bonus for the preferred endpoint of the session, which decides between otherwise equal endpoints. */
    private static final double SESSION_BONUS_MILLIS = 15;

    /** Mean duration of a plain call. */
    static final double PLAIN_CALL_MILLIS = 40;

    private static final double RUNNING_PLAIN_CALL_MILLIS = 4;

    /** An endpoint that fails every request while others fail none costs as much as a wait of one second. */
    private static final double FAULT_MILLIS = 1_000;

    private static final double SHED_MILLIS = 400;
    private static final double AVOIDED_MILLIS = 20_000;
    private static final double LOADING_MILLIS = 5_000;

    /** The value of answers on outdated weights decreases soon after newer ones were named. */
    private static final double OUTDATED_WEIGHTS_MILLIS = 70;

    /** A newly started endpoint is slow for a while. One request suffers a few hundredths of that time. */
    private static final double COLD_SHARE = 0.02;

    /** A longer cold time reported by an endpoint means no more than that it has just started. */
    private static final long MAX_COLD_MILLIS = 5_000;

    private final FailureDomain localDomain;

    EndpointScoring(FailureDomain localDomain) {
        this.localDomain = localDomain;
    }

    /** Returns the cost of a prompt. */
    double promptCost(
            EndpointState endpoint,
            PromptShape prompt,
            PrefillPlan plan,
            FirstTokenEstimate firstToken,
            boolean isPreferred,
            boolean outdatedWeights,
            FaultBaseline baseline,
            long nowNanos) {
        return baseCost(endpoint, baseline, nowNanos)
                + firstToken.millis()
                + plan.sharedPrefillTokens() * RECOMPUTE_MILLIS_PER_TOKEN
                + plan.fetchTokens() * FETCH_MILLIS_PER_TOKEN
                + endpoint.totalWork().requests() * RUNNING_PROMPT_MILLIS
                + (isInOtherDomain(endpoint) ? crossDomainMillis(prompt) : 0)
                + (outdatedWeights ? OUTDATED_WEIGHTS_MILLIS : 0)
                - (isPreferred ? SESSION_BONUS_MILLIS : 0);
    }

    /** Returns the cost of a call to a plain service. */
    double plainCallCost(EndpointState endpoint, FaultBaseline baseline, long nowNanos) {
        return baseCost(endpoint, baseline, nowNanos)
                + plainWaitMillis(endpoint)
                + (isInOtherDomain(endpoint) ? CROSS_DOMAIN_PLAIN_CALL_MILLIS : 0);
    }

    /** Returns the predicted time until a plain endpoint starts one more call, in milliseconds. */
    static double plainWaitMillis(EndpointState endpoint) {
        int slots = Math.max(1, endpoint.listed().slots());
        int requests = endpoint.totalWork().requests();
        double overloadMillis = Math.max(0, requests + 1 - slots) * PLAIN_CALL_MILLIS / slots;
        return overloadMillis + requests * RUNNING_PLAIN_CALL_MILLIS;
    }

    private static double baseCost(EndpointState endpoint, FaultBaseline baseline, long nowNanos) {
        return baseline.excess(endpoint) * FAULT_MILLIS
                + (endpoint.hasRecentlyShed(nowNanos) ? SHED_MILLIS : 0)
                + (endpoint.isAvoided(nowNanos) ? AVOIDED_MILLIS : 0)
                + (endpoint.isLoading(nowNanos) ? LOADING_MILLIS : 0)
                + Math.min(endpoint.remainingColdMillis(nowNanos), MAX_COLD_MILLIS) * COLD_SHARE;
    }

    private static double crossDomainMillis(PromptShape prompt) {
        return CROSS_DOMAIN_PROMPT_MILLIS
                + prompt.promptTokens() * CROSS_DOMAIN_MILLIS_PER_PROMPT_TOKEN
                + prompt.answerTokens() * CROSS_DOMAIN_MILLIS_PER_ANSWER_TOKEN;
    }

    /** Returns whether the endpoint lies in another failure domain than this entry. */
    boolean isInOtherDomain(EndpointState endpoint) {
        return !endpoint.listed().domain().equals(localDomain);
    }

    /**
     * Returns the rendezvous weight of an endpoint for a session. The session prefers the endpoint of the highest
     * weight.
     */
    static long sessionWeight(PromptPart session, EndpointId endpoint) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(session.id(), StandardCharsets.US_ASCII)
                .putString(endpoint.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
